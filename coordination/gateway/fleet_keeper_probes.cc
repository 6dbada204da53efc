// Signs of life of VMs that are in doubt.

#include "coordination/gateway/fleet_keeper.h"

#include <algorithm>
#include <utility>

#include "coordination/gateway/group_membership.h"

namespace gcw {

void FleetKeeper::Doubtful(Time now, const VmId& vm, const Address& address) {
  Doubt& doubt = doubts_[vm];
  doubt.address = address;
  if (!doubt.probing) {
    doubt.next_probe = now;
  }
}

void FleetKeeper::DoubtMembers(Time now,
                               const GroupRecord& group,
                               const GroupRun& run) {
  for (const VmId& member : group.members) {
    const auto address = run.addresses.find(member);
    if (address != run.addresses.end()) {
      Doubtful(now, member, address->second);
    }
  }
}

bool FleetKeeper::IsSilent(const VmId& vm) const {
  const auto found = doubts_.find(vm);
  return replaced_.contains(vm) ||
         (found != doubts_.end() && found->second.silent);
}

bool FleetKeeper::IsSlow(const VmId& vm) const {
  const auto found = doubts_.find(vm);
  return found != doubts_.end() && found->second.slow;
}

bool FleetKeeper::IsUnclear(const VmId& vm) const {
  const auto found = doubts_.find(vm);
  return found != doubts_.end() && !found->second.silent && !found->second.slow;
}

void FleetKeeper::ProbeDoubted(Time now, const FleetView& view) {
  for (auto it = doubts_.begin(); it != doubts_.end();) {
    if (view.FindVm(it->first) == nullptr) {
      it = doubts_.erase(it);
      continue;
    }
    Doubt& doubt = it->second;
    if (!doubt.probing && now >= doubt.next_probe) {
      doubt.probing = true;
      actions_.emplace_back(
          ProbeEngine{it->first, doubt.address, settings_.probe_timeout});
    }
    ++it;
  }
}

void FleetKeeper::OnProbeReply(Time now,
                               const VmId& vm,
                               const ProbeReport& report) {
  const auto found = doubts_.find(vm);
  if (found == doubts_.end()) {
    return;
  }
  Touch(vm);
  const bool answered = report.verdict == ProbeVerdict::kAnswered;
  if (answered && report.pace < settings_.slow_pace) {
    doubts_.erase(found);
    return;
  }
  Doubt& doubt = found->second;
  if (doubt.silent != !answered || doubt.slow != answered) {
    events_({EventKind::kVmHeldOff,
             vm.value(),
             {},
             {{"probe", std::string(ProbeVerdictName(report.verdict))},
              {"pace", report.pace}}});
  }
  doubt.silent = !answered;
  doubt.slow = answered;
  doubt.probing = false;
  doubt.next_probe = now + settings_.probe_interval;
}

}  // namespace gcw
