// Probes of VMs whose health is in doubt, and of the load of serving groups.

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

const VmRegistration* FleetKeeper::DrawServing(const FleetView& view,
                                               const Domain& domain,
                                               const ModelId& model) {
  const auto& groups = domain.writer.record().groups;
  for (std::size_t i = 0; i < groups.size(); ++i) {
    const GroupRecord& group = groups[(demand_turn_ + i) % groups.size()];
    const VmRegistration* head = view.FindVm(group.members.front());
    if (group.model == model && head != nullptr && IsOpen(view, group) &&
        !doubts_.contains(head->id)) {
      return head;
    }
  }
  return nullptr;
}

void FleetKeeper::ProbeDemand(Time now, const FleetView& view) {
  if (!loads_.has_traffic() || now < next_demand_probe_ || domains_.empty()) {
    return;
  }
  next_demand_probe_ = now + settings_.demand_interval;
  for (std::size_t tried = 0; tried < settings_.demand_tries; ++tried) {
    ++demand_turn_;
    auto domain = domains_.begin();
    std::advance(domain, demand_turn_ % domains_.size());
    const ServiceRule* service =
        view.routes()->FindService(domain->second.service);
    if (service == nullptr || !service->engine ||
        service->engine->models.size() < 2) {
      continue;
    }
    const auto& models = service->engine->models;
    // All domains have their turn before the next model does.
    const ModelId& model =
        models[demand_turn_ / domains_.size() % models.size()].model;
    const VmRegistration* head = DrawServing(view, domain->second, model);
    if (head != nullptr) {
      demand_asked_[head->id] = {
          model, static_cast<double>(service->engine->batch_limit)};
      actions_.emplace_back(
          ProbeEngine{head->id, head->address, settings_.probe_timeout});
      return;
    }
  }
}

void FleetKeeper::OnProbeReply(Time now,
                               const VmId& vm,
                               const ProbeReport& report) {
  const auto asked = demand_asked_.find(vm);
  if (asked != demand_asked_.end()) {
    const auto [model, places] = asked->second;
    demand_asked_.erase(asked);
    if (report.verdict == ProbeVerdict::kAnswered) {
      demand_.OnFill(now, model, static_cast<double>(report.requests) / places);
    }
  }
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
