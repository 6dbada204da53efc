#include "coordination/membership/presence_prober.h"

#include <algorithm>

namespace gcw {

PresenceProber::PresenceProber(ProberSettings settings) : settings_(settings) {}

void PresenceProber::SetTargets(Time now,
                                const std::vector<ProbeTarget>& targets) {
  const std::map<EndpointId, ProbeTarget> previous = std::move(targets_);
  targets_.clear();
  std::map<VmId, VmView> known = std::move(vms_);
  vms_.clear();
  for (const ProbeTarget& target : targets) {
    targets_[target.endpoint] = target;
    for (std::size_t rank = 0; rank < target.members.size(); ++rank) {
      AddVm(now, target, rank);
    }
  }
  for (auto& [vm, view] : vms_) {
    const auto it = known.find(vm);
    if (it != known.end() && it->second.address == view.address) {
      const Duration interval = view.interval;
      view = it->second;
      view.interval = interval;
    }
  }
  for (const auto& [endpoint, target] : targets_) {
    const auto it = previous.find(endpoint);
    if (it == previous.end() || it->second != target) {
      ProbeAllNow(now, target);
    }
  }
}

void PresenceProber::ProbeAllNow(Time now, const ProbeTarget& target) {
  for (const GroupMember& member : target.members) {
    const auto it = vms_.find(member.vm);
    if (it != vms_.end()) {
      it->second.next_probe = now;
    }
  }
}

void PresenceProber::AddVm(Time now,
                           const ProbeTarget& target,
                           std::size_t rank) {
  const GroupMember& member = target.members[rank];
  if (member.address.empty()) {
    return;
  }
  VmView view;
  view.address = member.address;
  view.purpose = target.purpose;
  const bool is_first = rank == 0 || !settings_.trust_members_seen;
  view.interval = is_first ? settings_.interval : settings_.member_interval;
  view.next_probe = now;
  vms_[member.vm] = view;
}

std::vector<ProbeVm> PresenceProber::Tick(Time now) {
  ExpireProbes(now);
  std::vector<ProbeVm> probes;
  for (auto& [vm, view] : vms_) {
    if (view.next_probe > now) {
      continue;
    }
    view.next_probe = now + view.interval;
    ++last_id_;
    pending_probes_[last_id_] = PendingProbe{vm, now};
    probes.push_back(
        ProbeVm{last_id_, vm, view.purpose, view.address, settings_.timeout});
  }
  return probes;
}

void PresenceProber::ExpireProbes(Time now) {
  std::erase_if(pending_probes_, [&](const auto& item) {
    const PendingProbe& pending = item.second;
    if (now - pending.sent_at <= settings_.timeout * 2) {
      return false;
    }
    const auto it = vms_.find(pending.vm);
    if (it != vms_.end()) {
      OnFailure(now, pending, it->second, /*refused=*/false);
    }
    return true;
  });
}

void PresenceProber::OnReply(Time now, ProbeId id, const ProbeReply& reply) {
  const auto pending_it = pending_probes_.find(id);
  if (pending_it == pending_probes_.end()) {
    return;
  }
  const PendingProbe pending = pending_it->second;
  pending_probes_.erase(pending_it);
  const auto it = vms_.find(pending.vm);
  if (it == vms_.end()) {
    return;
  }
  VmView& view = it->second;
  if (const auto* failed = std::get_if<ProbeFailed>(&reply)) {
    OnFailure(now, pending, view, failed->failure != ProbeFailure::kTimeout);
    return;
  }
  if (view.answered_probe_time && pending.sent_at < *view.answered_probe_time) {
    return;
  }
  const auto* status = std::get_if<EngineStatus>(&reply);
  const bool is_expected = status != nullptr
                               ? status->vm == pending.vm
                               : view.purpose == VmPurpose::kPlainService;
  if (!is_expected) {
    // The address now belongs to another VM.
    OnFailure(now, pending, view, /*refused=*/true);
    return;
  }
  view.answered_probe_time = pending.sent_at;
  view.is_answering = true;
  view.refused = false;
  view.has_outcome = true;
  if (status == nullptr) {
    return;
  }
  view.status = *status;
  if (status->state != EngineState::kReady) {
    view.next_probe = std::min(view.next_probe, now + settings_.interval);
  }
}

void PresenceProber::OnFailure(Time now,
                               const PendingProbe& pending,
                               VmView& view,
                               bool refused) {
  if (view.answered_probe_time && pending.sent_at < *view.answered_probe_time) {
    return;
  }
  view.has_outcome = true;
  view.is_answering = false;
  view.refused = refused;
  view.next_probe = std::min(view.next_probe, now + settings_.interval);
}

std::optional<PresenceFinding> PresenceProber::Find(
    Time now,
    const EndpointId& endpoint) const {
  const auto it = targets_.find(endpoint);
  if (it == targets_.end()) {
    return std::nullopt;
  }
  const ProbeTarget& target = it->second;
  PresenceFinding finding{Presence::kComplete, now, VmId()};
  bool all_known = true;
  for (std::size_t rank = 0; rank < target.members.size(); ++rank) {
    const MemberFinding member = FindMember(now, target, rank);
    if (member.known && !member.evidence) {
      return PresenceFinding{Presence::kIncomplete, now,
                             target.members[rank].vm};
    }
    all_known = all_known && member.known;
    if (member.evidence) {
      finding.evidence_time = std::min(finding.evidence_time, *member.evidence);
    }
  }
  if (!all_known) {
    return std::nullopt;
  }
  return finding;
}

PresenceProber::MemberFinding PresenceProber::FindMember(
    Time now,
    const ProbeTarget& target,
    std::size_t rank) const {
  const VmId& vm = target.members[rank].vm;
  const auto it = vms_.find(vm);
  if (it == vms_.end()) {
    return {.known = true, .evidence = std::nullopt};
  }
  const VmView& view = it->second;
  if (!view.has_outcome) {
    return {};
  }
  MemberFinding finding{.known = true, .evidence = std::nullopt};
  if (view.refused || !view.answered_probe_time || !IsServing(target, view)) {
    return finding;
  }
  if (now - *view.answered_probe_time >
      view.interval + settings_.max_evidence_age) {
    return finding;
  }
  Time evidence = *view.answered_probe_time;
  if (rank != 0 && settings_.trust_members_seen) {
    const std::optional<Time> reported = MembersSeenTime(target, vm);
    if (!reported) {
      return finding;
    }
    evidence = std::max(evidence, *reported);
  }
  if (now - evidence <= settings_.max_evidence_age) {
    finding.evidence = evidence;
  }
  return finding;
}

std::optional<Time> PresenceProber::MembersSeenTime(const ProbeTarget& target,
                                                    const VmId& member) const {
  const auto it = vms_.find(target.members.front().vm);
  if (it == vms_.end() || !it->second.answered_probe_time ||
      !IsServing(target, it->second)) {
    return std::nullopt;
  }
  const std::vector<VmId>& seen = it->second.status.members_seen;
  if (std::find(seen.begin(), seen.end(), member) == seen.end()) {
    return std::nullopt;
  }
  return *it->second.answered_probe_time - settings_.members_seen_lag;
}

bool PresenceProber::IsServing(const ProbeTarget& target, const VmView& view) {
  if (view.purpose == VmPurpose::kPlainService) {
    return true;
  }
  return view.status.group == target.group &&
         view.status.generation == target.generation &&
         view.status.state == EngineState::kReady;
}

// Considers first VMs only: they are all probed within one interval, so that
// after a network failure all probes have failed before the evidence of the
// first one expires.
bool PresenceProber::IsLikelyIsolated() const {
  // A single VM that does not answer is no evidence about this node.
  constexpr std::size_t kMinVms = 2;
  std::size_t total = 0;
  std::size_t unanswered = 0;
  for (const auto& [endpoint, target] : targets_) {
    const auto it = vms_.find(target.members.front().vm);
    if (it == vms_.end() || !it->second.has_outcome) {
      continue;
    }
    ++total;
    unanswered += !it->second.is_answering && !it->second.refused ? 1 : 0;
  }
  return total >= kMinVms && unanswered * 2 >= total;
}

}  // namespace gcw
