#include "coordination/groups/vm_tracker.h"

#include <algorithm>

namespace gcw {

VmTracker::VmTracker(TrackerSettings settings) : settings_(settings) {}

void VmTracker::OnVmList(Time now, const VmListSnapshot& snapshot) {
  if (snapshot.as_of < list_as_of_) {
    return;
  }
  list_as_of_ = snapshot.as_of;
  for (auto& [vm, facts] : vms_) {
    facts.listed = false;
  }
  for (const VmEntry& entry : snapshot.vms) {
    const bool is_new = !vms_.contains(entry.id);
    VmFacts& facts = vms_[entry.id];
    facts.entry = entry;
    facts.listed = true;
    facts.absent_as_of.reset();
    if (is_new) {
      schedules_[entry.id].next = now;
    }
  }
  for (auto& [vm, facts] : vms_) {
    if (!facts.listed) {
      facts.absent_as_of = snapshot.as_of;
    }
  }
}

void VmTracker::SetDomains(const std::set<FabricDomainId>& domains) {
  domains_ = domains;
}

void VmTracker::SetProbeRate(const VmId& vm, ProbeRate rate) {
  const auto it = schedules_.find(vm);
  if (it == schedules_.end() || it->second.rate == rate) {
    return;
  }
  it->second.rate = rate;
  if (rate == ProbeRate::kFast) {
    it->second.next = Time();
  }
}

std::vector<ProbeVm> VmTracker::Tick(Time now) {
  ExpireProbes(now);
  std::vector<ProbeVm> probes;
  for (auto& [vm, schedule] : schedules_) {
    const VmEntry& entry = vms_.at(vm).entry;
    if (schedule.pending || schedule.next > now ||
        entry.purpose != VmPurpose::kModelEngine ||
        !domains_.contains(entry.domain)) {
      continue;
    }
    schedule.next = now + Interval(schedule.rate);
    ++last_probe_;
    schedule.pending = last_probe_;
    sent_probes_[last_probe_] = SentProbe{vm, now};
    probes.push_back(ProbeVm{last_probe_, vm, entry.purpose, entry.address,
                             settings_.timeout});
  }
  return probes;
}

void VmTracker::OnProbeReply(Time now, ProbeId id, const ProbeReply& reply) {
  const auto it = sent_probes_.find(id);
  if (it == sent_probes_.end()) {
    return;
  }
  const SentProbe sent = it->second;
  sent_probes_.erase(it);
  Schedule& schedule = schedules_[sent.vm];
  if (schedule.pending == id) {
    schedule.pending.reset();
  }
  const auto* status = std::get_if<EngineStatus>(&reply);
  if (status != nullptr && status->vm == sent.vm) {
    OnStatus(sent.at, sent.vm, *status);
    return;
  }
  OnFailure(sent.at, sent.vm);
  schedule.next = std::min(schedule.next, now + settings_.fast_interval);
}

void VmTracker::ExpireProbes(Time now) {
  std::erase_if(sent_probes_, [&](const auto& item) {
    const SentProbe& sent = item.second;
    if (now - sent.at <= settings_.timeout * 2) {
      return false;
    }
    Schedule& schedule = schedules_[sent.vm];
    schedule.pending.reset();
    schedule.next = std::min(schedule.next, now + settings_.fast_interval);
    OnFailure(sent.at, sent.vm);
    return true;
  });
}

void VmTracker::OnStatus(Time sent,
                         const VmId& vm,
                         const EngineStatus& status) {
  VmFacts& facts = vms_[vm];
  if (facts.status && sent < facts.status_time) {
    return;
  }
  facts.status = status;
  facts.status_time = sent;
  facts.failing_since.reset();
}

void VmTracker::OnFailure(Time sent, const VmId& vm) {
  VmFacts& facts = vms_[vm];
  if (facts.status && sent < facts.status_time) {
    return;
  }
  facts.failing_since = std::min(facts.failing_since.value_or(sent), sent);
}

const VmFacts* VmTracker::Find(const VmId& vm) const {
  const auto it = vms_.find(vm);
  return it == vms_.end() ? nullptr : &it->second;
}

bool VmTracker::IsUnreachable(Time now, const VmId& vm) const {
  const VmFacts* facts = Find(vm);
  return facts != nullptr && facts->failing_since &&
         now - *facts->failing_since >= settings_.loss_timeout;
}

bool VmTracker::IsGone(Time now, const VmId& vm) const {
  const VmFacts* facts = Find(vm);
  return facts != nullptr && facts->absent_as_of && IsUnreachable(now, vm) &&
         *facts->absent_as_of > facts->status_time + settings_.max_list_lag;
}

bool VmTracker::IsIdleSince(const VmId& vm, Time since) const {
  const VmFacts* facts = Find(vm);
  return facts != nullptr && facts->status && facts->status_time >= since &&
         !facts->failing_since && facts->status->group.empty() &&
         facts->status->state == EngineState::kIdle;
}

Duration VmTracker::Interval(ProbeRate rate) const {
  switch (rate) {
    case ProbeRate::kIdle:
      return settings_.idle_interval;
    case ProbeRate::kFirstMember:
      return settings_.first_member_interval;
    case ProbeRate::kFast:
      return settings_.fast_interval;
  }
  return settings_.idle_interval;
}

}  // namespace gcw
