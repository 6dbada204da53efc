// Detection of stalled replicas, and exchange of evidence with other nodes.

#include "coordination/gateway/replica_selector.h"

#include <algorithm>
#include <utility>

namespace gcw {

std::set<VmId> ReplicaSelector::FindSilent(Time now) {
  std::set<VmId> silent;
  for (const auto& [number, attempt] : attempts_) {
    if (!attempt.streams) {
      continue;
    }
    const State* state = FindTarget(attempt);
    if (state == nullptr || state->is_stalled) {
      continue;
    }
    const Time last =
        std::max(attempt.progress.value_or(attempt.sent), state->last_progress);
    const Duration limit = attempt.progress ? settings_.stall_timeout
                                            : settings_.first_event_timeout;
    if (now - last > limit) {
      silent.insert(attempt.vm);
    }
  }
  return silent;
}

bool ReplicaSelector::AwaitsAnswers(Time now, Time last_contact) const {
  return std::any_of(
      attempts_.begin(), attempts_.end(), [&](const auto& entry) {
        const Attempt& attempt = entry.second;
        const Time last =
            std::max(attempt.progress.value_or(attempt.sent), last_contact);
        return attempt.streams &&
               now - last > (attempt.progress ? settings_.stall_timeout
                                              : settings_.first_event_timeout);
      });
}

void ReplicaSelector::Tick(Time now) {
  warm_up_.Tick(now);
  limits_.Tick(now, [this](const VmId& vm) { return states_.contains(vm); });
  holds_.Tick(now);
  CheckPaths(now, FindSilentHere(now));
  const std::set<VmId> silent = FindSilent(now);
  for (auto& [vm, state] : states_) {
    if (!silent.contains(vm)) {
      state.suspected_since.reset();
      continue;
    }
    if (!state.suspected_since) {
      state.suspected_since = now;
      suspected_stalls_.push_back(state.replica);
    }
    // A node without peers has nobody to ask.
    if (node_count_ > 1 &&
        now - *state.suspected_since < settings_.peer_confirmation_timeout) {
      continue;
    }
    state.suspected_since.reset();
    state.awaits_announcement = true;
    AnnounceStall(state);
    MarkStalled(now, state, "own_streams");
  }
}

bool ReplicaSelector::IsInDoubt(AttemptNumber attempt) const {
  const auto found = attempts_.find(attempt);
  if (found == attempts_.end()) {
    return false;
  }
  const State* state = FindTarget(found->second);
  return state == nullptr || state->is_stalled || IsPathLost(*state);
}

bool ReplicaSelector::IsPathLost(AttemptNumber attempt) const {
  const auto found = attempts_.find(attempt);
  const State* state =
      found == attempts_.end() ? nullptr : FindTarget(found->second);
  return state != nullptr && IsPathLost(*state);
}

bool ReplicaSelector::IsPathLost(const State& state) {
  return state.is_path_checked && !state.is_reached;
}

void ReplicaSelector::KeepHeard(Time since, Candidates& candidates) {
  for (auto* states :
       {&candidates.near, &candidates.far, &candidates.limited}) {
    std::erase_if(*states, [&](const State* state) {
      return state->last_contact <= since;
    });
  }
}

bool ReplicaSelector::IsSilenceCommon(const ServiceId& service,
                                      Time since) const {
  std::set<VmId> silent;
  std::set<VmId> heard;
  for (const auto& [number, attempt] : attempts_) {
    const State* state = FindTarget(attempt);
    if (state != nullptr && state->replica.service == service &&
        attempt.sent <= since) {
      (state->last_contact > since ? heard : silent).insert(attempt.vm);
    }
  }
  return silent.size() > std::max<std::size_t>(1, heard.size());
}

std::vector<Replica> ReplicaSelector::TakeSuspectedStalls() {
  return std::exchange(suspected_stalls_, {});
}

void ReplicaSelector::OnPeerProgress(Time now,
                                     const VmId& vm,
                                     Generation generation,
                                     Duration ago) {
  State* state = Find(vm);
  if (state == nullptr || state->replica.generation != generation) {
    return;
  }
  state->last_peer_progress = std::max(state->last_peer_progress, now - ago);
  state->last_progress = std::max(state->last_progress, now - ago);
}

void ReplicaSelector::OnPeerStall(Time now,
                                  const VmId& vm,
                                  Generation generation) {
  State* state = Find(vm);
  if (state == nullptr || state->replica.generation != generation ||
      state->is_stalled) {
    return;
  }
  // Recent progress outweighs another node's report of a stall.
  if (now - state->last_progress >= settings_.stall_timeout / 2) {
    MarkStalled(now, *state, "other_node");
  }
}

void ReplicaSelector::MarkStalled(Time now,
                                  State& state,
                                  std::string_view evidence) {
  state.is_stalled = true;
  state.next_trial = now + settings_.stall_trial_interval;
  events_({EventKind::kConnectionStalled,
           state.replica.vm.value(),
           {},
           {{"group", state.replica.group.value()},
            {"evidence", std::string(evidence)},
            {"silent_ms", (now - state.last_progress).millis()},
            {"in_flight", state.in_flight}}});
}

std::set<VmId> ReplicaSelector::FindSilentHere(Time now) {
  std::set<VmId> silent;
  for (const auto& [number, attempt] : attempts_) {
    const State* state = attempt.streams ? FindTarget(attempt) : nullptr;
    if (state == nullptr) {
      continue;
    }
    const Time last =
        std::max(attempt.progress.value_or(attempt.sent), state->last_event);
    if (now - last > (attempt.progress ? settings_.stall_timeout
                                       : settings_.first_event_check_delay)) {
      silent.insert(attempt.vm);
    }
  }
  return silent;
}

void ReplicaSelector::CheckPaths(Time now, const std::set<VmId>& silent_here) {
  for (const VmId& vm : silent_here) {
    State& state = states_.at(vm);
    if (now < state.next_path_check) {
      continue;
    }
    state.next_path_check = now + settings_.path_check_interval;
    state.is_path_checked = false;
    state.is_path_check_pending = true;
    path_checks_.push_back(state.replica);
  }
}

std::vector<Replica> ReplicaSelector::TakePathChecks() {
  return std::exchange(path_checks_, {});
}

void ReplicaSelector::OnPathCheck(const VmId& vm, bool is_reached) {
  State* state = Find(vm);
  if (state == nullptr || !state->is_path_check_pending) {
    return;
  }
  state->is_path_check_pending = false;
  state->is_path_checked = true;
  state->is_reached = is_reached;
  AnnounceStall(*state);
}

void ReplicaSelector::AnnounceStall(State& state) {
  if (!state.awaits_announcement || !state.is_path_checked) {
    return;
  }
  state.awaits_announcement = false;
  (state.is_reached ? stalled_replicas_ : unreachable_replicas_)
      .push_back(state.replica);
}

std::vector<Replica> ReplicaSelector::TakeUnreachableReplicas() {
  return std::exchange(unreachable_replicas_, {});
}

std::vector<Replica> ReplicaSelector::TakeStalledReplicas() {
  return std::exchange(stalled_replicas_, {});
}

std::optional<Time> ReplicaSelector::LocalProgress(
    const VmId& vm,
    Generation generation) const {
  const auto found = states_.find(vm);
  if (found == states_.end() ||
      found->second.replica.generation != generation) {
    return std::nullopt;
  }
  const State& state = found->second;
  const Time last =
      state.replica.group.empty() ? state.last_contact : state.last_event;
  return last == Time() ? std::nullopt : std::optional(last);
}

Generation ReplicaSelector::GenerationOf(const VmId& vm) const {
  const auto found = states_.find(vm);
  return found == states_.end() ? Generation()
                                : found->second.replica.generation;
}

Time ReplicaSelector::LastProgress(const VmId& vm,
                                   Generation generation) const {
  const auto found = states_.find(vm);
  if (found == states_.end() ||
      found->second.replica.generation != generation) {
    return Time();
  }
  return std::max(found->second.last_event, found->second.last_peer_progress);
}

}  // namespace gcw
