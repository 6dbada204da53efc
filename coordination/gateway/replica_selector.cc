#include "coordination/gateway/replica_selector.h"

#include <algorithm>
#include <cstdint>
#include <string>
#include <utility>

#include "coordination/rendezvous.h"

namespace gcw {
namespace {

// Weight of the previous estimate in the moving average of event intervals.
constexpr double kIntervalSmoothing = 0.9;

}  // namespace

ReplicaSelector::ReplicaSelector(ReplicaSelectorSettings settings,
                                 ZoneId zone,
                                 Random random,
                                 EventSink events)
    : settings_(settings),
      zone_(std::move(zone)),
      random_(std::move(random)),
      events_(std::move(events)),
      subset_(settings.even_load.preferred_groups),
      limits_(settings.limits, random_, events_),
      warm_up_(settings.warm_up, events_),
      holds_(events_) {}

void ReplicaSelector::SetReplicas(Time now, std::vector<Replica> replicas) {
  std::set<VmId> seen;
  for (Replica& replica : replicas) {
    seen.insert(replica.vm);
    PutReplica(now, std::move(replica));
  }
  std::erase_if(states_, [&](const auto& state) {
    const bool is_gone = !seen.contains(state.first);
    if (is_gone) {
      warm_up_.RemoveEndpoint(state.first);
    }
    return is_gone;
  });
  UpdateAllPreferred();
}

void ReplicaSelector::SetReplica(Time now, Replica replica) {
  const ServiceId service = replica.service;
  const ModelId model = replica.model;
  const State* earlier = Find(replica.vm);
  const ModelId earlier_model =
      earlier == nullptr ? model : earlier->replica.model;
  if (PutReplica(now, std::move(replica))) {
    UpdatePreferred(service, model);
    if (earlier_model != model) {
      UpdatePreferred(service, earlier_model);
    }
  }
}

bool ReplicaSelector::PutReplica(Time now, Replica replica) {
  const auto [it, is_new] = states_.try_emplace(replica.vm, settings_);
  State& state = it->second;
  bool is_other = is_new;
  if (is_new || state.replica.generation != replica.generation ||
      state.replica.incarnation != replica.incarnation) {
    // Another group on the same VM, or another run of its endpoint, starts
    // without load or history.
    state = State(settings_);
    state.last_progress = now;
    is_other = true;
  }
  state.replica = std::move(replica);
  warm_up_.SetEndpoint(now, state.replica.vm, state.replica.zone,
                       state.replica.warm_up);
  return is_other;
}

void ReplicaSelector::RemoveReplica(const VmId& vm) {
  const auto found = states_.find(vm);
  if (found != states_.end()) {
    const Replica removed = found->second.replica;
    states_.erase(found);
    UpdatePreferred(removed.service, removed.model);
  }
  warm_up_.RemoveEndpoint(vm);
}

void ReplicaSelector::SetNodes(Time now,
                               NodeId self,
                               std::map<NodeId, ZoneId> nodes) {
  std::set<NodeId> listed;
  std::vector<NodeId> near;
  for (const auto& [id, zone] : nodes) {
    listed.insert(id);
    if (zone == zone_) {
      near.push_back(id);
    }
  }
  subset_.SetNodes(self, std::move(near));
  UpdateAllPreferred();
  warm_up_.SetNodes(now, self, listed);
  limits_.SetNodes(now, std::move(self), std::move(nodes));
}

void ReplicaSelector::SetNodeCount(std::size_t nodes) {
  node_count_ = static_cast<double>(std::max<std::size_t>(1, nodes));
}

ReplicaSelector::State* ReplicaSelector::Find(const VmId& vm) {
  const auto found = states_.find(vm);
  return found == states_.end() ? nullptr : &found->second;
}

ReplicaSelector::State* ReplicaSelector::FindTarget(const Attempt& attempt) {
  State* state = Find(attempt.vm);
  return state != nullptr && IsTarget(*state, attempt) ? state : nullptr;
}

const ReplicaSelector::State* ReplicaSelector::FindTarget(
    const Attempt& attempt) const {
  const auto found = states_.find(attempt.vm);
  return found != states_.end() && IsTarget(found->second, attempt)
             ? &found->second
             : nullptr;
}

bool ReplicaSelector::IsTarget(const State& state, const Attempt& attempt) {
  return state.replica.generation == attempt.generation &&
         state.replica.incarnation == attempt.incarnation;
}

double ReplicaSelector::MaxFill(const ReplicaDemand& demand) const {
  if (!demand.urgency) {
    return settings_.max_fill;
  }
  return *demand.urgency == Urgency::kDeferred ? settings_.max_fill_deferred
                                               : settings_.max_fill_prioritized;
}

bool ReplicaSelector::IsUsable(Time now, const State& state) const {
  if (state.is_stalled && (state.in_flight > 0 || now < state.next_trial)) {
    return false;
  }
  return state.backoff.AllowsRequest(now);
}

double ReplicaSelector::ExpectedRequests(Time now, const State& state) const {
  const auto local_requests = static_cast<double>(state.in_flight);
  if (state.load_reported_at == Time() ||
      now - state.load_reported_at > settings_.load_report_ttl) {
    return local_requests * std::min(node_count_, 4.0);
  }
  const auto reported =
      static_cast<double>(state.load.running + state.load.waiting +
                          state.sent_since_report - state.ended_since_report);
  return std::max(local_requests, reported);
}

double ReplicaSelector::ExpectedWait(Time now,
                                     const State& state,
                                     const ReplicaDemand& demand) const {
  return ExpectedWait(now, state, demand, ExpectedRequests(now, state));
}

double ReplicaSelector::ExpectedWait(Time now,
                                     const State& state,
                                     const ReplicaDemand& demand,
                                     double requests) const {
  const Replica& replica = state.replica;
  const auto slots = static_cast<double>(replica.slots);
  double wait = replica.pass_ms * std::min(1.0, requests / slots);
  if (replica.prompt_tokens_per_ms > 0) {
    const double tokens = state.pending_prompt_tokens +
                          static_cast<double>(demand.prompt_tokens.value());
    wait += tokens / replica.prompt_tokens_per_ms;
  } else {
    wait += replica.service_ms * requests / slots;
  }
  const double queued = requests + 1 - slots;
  if (queued > 0) {
    wait += replica.service_ms * queued / slots;
  }
  // A group with a slow member runs at that member's speed.
  if (replica.pass_ms > 0 && state.event_interval_ms > replica.pass_ms) {
    // The measured slowness loses weight over time, because a replica that gets
    // no requests yields no new measurement.
    const double confidence =
        1 - static_cast<double>((now - state.last_event).millis()) /
                static_cast<double>(settings_.load_report_ttl.millis());
    const double excess = state.event_interval_ms / replica.pass_ms - 1;
    wait *= 1 + excess * std::max(0.0, confidence);
  }
  if (replica.zone != zone_) {
    wait += settings_.cross_zone_penalty_ms;
  }
  return wait;
}

ReplicaSelector::Candidates ReplicaSelector::FindCandidates(
    Time now,
    const ReplicaDemand& demand,
    std::span<const VmId> excluded) const {
  Candidates found;
  for (const auto& [vm, state] : states_) {
    const Replica& replica = state.replica;
    if (replica.service != demand.service || replica.model != demand.model ||
        !replica.accepts_requests ||
        std::find(excluded.begin(), excluded.end(), vm) != excluded.end() ||
        !IsUsable(now, state)) {
      continue;
    }
    if (!holds_.MaySend(now, vm, replica.incarnation)) {
      found.any_held = true;
      continue;
    }
    if (!limits_.MaySend(now, vm, replica.incarnation)) {
      found.any_limited = true;
      continue;
    }
    found.any_usable = true;
    if (!warm_up_.MaySend(now, vm)) {
      continue;
    }
    if (ExpectedRequests(now, state) <
        MaxFill(demand) * static_cast<double>(replica.slots)) {
      const bool is_near = replica.zone == zone_;
      const bool has_few_senders =
          limits_.IsLimited(vm) || warm_up_.IsCold(now, vm);
      (has_few_senders ? found.limited
       : is_near       ? found.near
                       : found.far)
          .push_back(&state);
    }
  }
  return found;
}

void ReplicaSelector::Compare(Time now,
                              const ReplicaDemand& demand,
                              const State& state,
                              std::optional<ReplicaChoice>& best) const {
  const double cost = ExpectedWait(now, state, demand) +
                      settings_.jitter_ms * DrawUnit(random_);
  if (!best || cost < best->expected_wait_ms) {
    best = ReplicaChoice{state.replica, cost};
  }
}

void ReplicaSelector::CompareDrawn(Time now,
                                   const ReplicaDemand& demand,
                                   std::vector<const State*> with_room,
                                   std::optional<ReplicaChoice>& best) const {
  const std::size_t drawn =
      std::min(static_cast<std::size_t>(settings_.choices), with_room.size());
  for (std::size_t i = 0; i < drawn; ++i) {
    std::swap(with_room[i],
              with_room[i + DrawBelow(random_, with_room.size() - i)]);
    Compare(now, demand, *with_room[i], best);
  }
}

std::optional<ReplicaChoice> ReplicaSelector::ChooseApart(
    Time now,
    const ReplicaDemand& demand,
    const Candidates& candidates) const {
  const std::string key = std::to_string(demand.apart->value());
  const State* chosen = nullptr;
  std::uint64_t best_score = 0;
  for (const auto* states :
       {&candidates.near, &candidates.far, &candidates.limited}) {
    for (const State* state : *states) {
      const std::uint64_t score =
          RendezvousScore(key, NodeId(state->replica.vm.value()));
      if (chosen == nullptr || score > best_score) {
        chosen = state;
        best_score = score;
      }
    }
  }
  if (chosen == nullptr) {
    return std::nullopt;
  }
  return ReplicaChoice{chosen->replica, ExpectedWait(now, *chosen, demand)};
}

Result<ReplicaChoice, RefusalKind> ReplicaSelector::Choose(
    Time now,
    const ReplicaDemand& demand,
    std::span<const VmId> excluded) const {
  Candidates candidates = FindCandidates(now, demand, excluded);
  if (demand.heard_since) {
    Candidates heard = candidates;
    KeepHeard(*demand.heard_since, heard);
    const bool any_heard =
        !heard.near.empty() || !heard.far.empty() || !heard.limited.empty();
    if (any_heard || IsSilenceCommon(demand.service, *demand.heard_since)) {
      candidates = std::move(heard);
    }
  }
  std::optional<ReplicaChoice> best;
  if (demand.apart) {
    best = ChooseApart(now, demand, candidates);
    if (best) {
      return *std::move(best);
    }
  }
  if (!ComparePreferred(now, demand, candidates, best)) {
    CompareDrawn(now, demand, std::move(candidates.near), best);
    CompareDrawn(now, demand, std::move(candidates.far), best);
    for (const State* state : candidates.limited) {
      Compare(now, demand, *state, best);
    }
  }
  if (best) {
    return *std::move(best);
  }
  if (candidates.any_usable) {
    return RefusalKind::kNoCapacity;
  }
  if (candidates.any_limited) {
    return RefusalKind::kEndpointLimit;
  }
  return candidates.any_held ? RefusalKind::kEndpointCooldown
                             : RefusalKind::kNoEndpoint;
}

std::size_t ReplicaSelector::CountAlike(const VmId& vm) const {
  const auto found = states_.find(vm);
  if (found == states_.end()) {
    return 0;
  }
  const Replica& replica = found->second.replica;
  return static_cast<std::size_t>(std::count_if(
      states_.begin(), states_.end(), [&replica](const auto& state) {
        return state.second.replica.service == replica.service &&
               state.second.replica.model == replica.model;
      }));
}

RequestRate ReplicaSelector::LimitedRate(const ReplicaDemand& demand) const {
  double rate = 0;
  for (const auto& [vm, state] : states_) {
    const Replica& replica = state.replica;
    if (replica.service == demand.service && replica.model == demand.model) {
      rate += limits_.UsableRate(vm, replica.incarnation).per_second();
    }
  }
  return RequestRate::PerSecond(rate);
}

Time ReplicaSelector::FirstCooldownEnd(Time now,
                                       const ReplicaDemand& demand) const {
  std::optional<Time> first;
  for (const auto& [vm, state] : states_) {
    const Replica& replica = state.replica;
    if (replica.service != demand.service || replica.model != demand.model) {
      continue;
    }
    const std::optional<Time> next =
        holds_.NextSend(now, vm, replica.incarnation);
    if (next && (!first || *next < *first)) {
      first = next;
    }
  }
  return first.value_or(now);
}

AttemptNumber ReplicaSelector::OnSent(Time now,
                                      const VmId& vm,
                                      TokenCount prompt_tokens,
                                      bool streams) {
  ++last_attempt_;
  Attempt attempt;
  attempt.vm = vm;
  attempt.prompt_tokens = static_cast<double>(prompt_tokens.value());
  attempt.sent = now;
  attempt.streams = streams;
  if (State* state = Find(vm)) {
    attempt.generation = state->replica.generation;
    attempt.incarnation = state->replica.incarnation;
    state->backoff.OnSent(now);
    state->next_trial = now + settings_.stall_trial_interval;
    ++state->in_flight;
    ++state->sent_since_report;
    state->pending_prompt_tokens += attempt.prompt_tokens;
    limits_.OnSent(now, vm);
    warm_up_.OnSent(now, vm);
  }
  attempts_.emplace(last_attempt_, std::move(attempt));
  return last_attempt_;
}

void ReplicaSelector::OnLoad(Time now,
                             const VmId& vm,
                             const LoadReading& load) {
  if (State* state = Find(vm)) {
    state->load = load;
    state->load_reported_at = now;
    state->sent_since_report = 0;
    state->ended_since_report = 0;
  }
}

void ReplicaSelector::OnReport(Time now,
                               AttemptNumber attempt,
                               const EndpointReport& report) {
  const auto found = attempts_.find(attempt);
  if (found == attempts_.end()) {
    return;
  }
  const Attempt& source = found->second;
  if (report.load) {
    OnLoad(now, source.vm, *report.load);
  }
  if (State* state = FindTarget(source)) {
    state->last_contact = now;
  }
  const State* state = Find(source.vm);
  const ZoneId zone = state == nullptr ? ZoneId() : state->replica.zone;
  const EndpointRun endpoint = {source.vm, source.incarnation, zone};
  limits_.OnReport(now, endpoint, source.sent, report);
  holds_.OnReport(now, endpoint, report);
}

void ReplicaSelector::OnRelayedReport(Time now,
                                      const VmId& vm,
                                      Time sent,
                                      const EndpointReport& report) {
  const State* state = Find(vm);
  if (state == nullptr) {
    return;
  }
  const EndpointRun endpoint = {vm, state->replica.incarnation,
                                state->replica.zone};
  limits_.OnReport(now, endpoint, sent, report);
  holds_.OnReport(now, endpoint, report);
}

void ReplicaSelector::OnProgress(Time now, AttemptNumber attempt) {
  const auto found = attempts_.find(attempt);
  if (found == attempts_.end()) {
    return;
  }
  Attempt& running = found->second;
  State* state = FindTarget(running);
  const bool is_first = !running.progress.has_value();
  const double interval =
      is_first ? 0 : static_cast<double>((now - *running.progress).millis());
  running.progress = now;
  if (state == nullptr) {
    return;
  }
  const Duration silence = now - state->last_progress;
  state->last_progress = now;
  state->last_event = now;
  state->last_contact = now;
  state->is_path_checked = false;
  state->awaits_announcement = false;
  if (!is_first) {
    state->event_interval_ms =
        state->event_interval_ms == 0
            ? interval
            : kIntervalSmoothing * state->event_interval_ms +
                  (1 - kIntervalSmoothing) * interval;
  }
  if (is_first) {
    state->pending_prompt_tokens =
        std::max(0.0, state->pending_prompt_tokens - running.prompt_tokens);
  }
  if (std::exchange(state->is_stalled, false)) {
    if (silence >= settings_.min_cold_silence) {
      warm_up_.OnReturned(now, running.vm);
    }
    events_({EventKind::kEndpointRestored, running.vm.value(), {}, {}});
  }
}

void ReplicaSelector::RemoveLoad(const Attempt& attempt) {
  State* state = FindTarget(attempt);
  if (state == nullptr) {
    return;
  }
  state->in_flight = std::max<std::int64_t>(0, state->in_flight - 1);
  ++state->ended_since_report;
  if (!attempt.progress) {
    state->pending_prompt_tokens =
        std::max(0.0, state->pending_prompt_tokens - attempt.prompt_tokens);
  }
}

void ReplicaSelector::OnEnded(Time now,
                              AttemptNumber attempt,
                              ForwardEndKind end) {
  const auto found = attempts_.find(attempt);
  if (found == attempts_.end()) {
    return;
  }
  const Attempt ended = found->second;
  attempts_.erase(found);
  RemoveLoad(ended);
  State* state = FindTarget(ended);
  if (state == nullptr) {
    return;
  }
  switch (end) {
    case ForwardEndKind::kSucceeded:
      state->last_contact = now;
      state->is_stalled = false;
      state->backoff.OnSucceeded();
      return;
    case ForwardEndKind::kNothingSent:
    case ForwardEndKind::kConnectionBroken:
    case ForwardEndKind::kSilent:
      RecordFailure(now, *state);
      [[fallthrough]];
    case ForwardEndKind::kEndpointFailed:
    case ForwardEndKind::kNotRun:
    case ForwardEndKind::kOtherVm: {
      if (end == ForwardEndKind::kNotRun) {
        CountRejection(now, state->replica);
      }
      const bool was_open = state->backoff.AllowsRequest(now);
      state->backoff.OnFailed(now);
      if (was_open) {
        events_({EventKind::kEndpointEjected,
                 ended.vm.value(),
                 {},
                 {{"reason", std::string(ForwardEndKindName(end))},
                  {"failures", state->backoff.failures()}}});
      }
      return;
    }
    case ForwardEndKind::kDeadlineExceeded:
      state->backoff.OnAbandoned();
      return;
  }
}

void ReplicaSelector::RecordFailure(Time now, State& state) const {
  if (!state.failing_since ||
      now - state.last_failure >= settings_.failure_gap) {
    state.failing_since = now;
  }
  state.last_failure = now;
}

std::optional<Time> ReplicaSelector::FailingSince(
    Time now,
    const ReplicaDemand& demand) const {
  std::optional<Time> since;
  for (const auto& [vm, state] : states_) {
    const Replica& replica = state.replica;
    if (replica.service == demand.service && replica.model == demand.model &&
        state.failing_since &&
        now - state.last_failure < settings_.failure_gap) {
      since = std::min(since.value_or(now), *state.failing_since);
    }
  }
  return since;
}

std::vector<ServiceReach> ReplicaSelector::Reach(Time now) const {
  std::map<std::pair<ServiceId, ModelId>, ServiceReach> reached;
  for (const auto& [vm, state] : states_) {
    if (state.last_contact == Time()) {
      continue;
    }
    const Replica& replica = state.replica;
    const Duration age = now - state.last_contact;
    const auto [it, is_new] = reached.try_emplace(
        {replica.service, replica.model},
        ServiceReach{replica.service, replica.model, 0, age});
    it->second.contact_age = std::min(it->second.contact_age, age);
    it->second.usable += IsUsable(now, state) ? 1 : 0;
  }
  std::vector<ServiceReach> services;
  services.reserve(reached.size());
  for (auto& [key, reach] : reached) {
    services.push_back(std::move(reach));
  }
  return services;
}

std::vector<Replica> ReplicaSelector::DrawReplicas(std::size_t count) const {
  std::vector<const Replica*> all;
  all.reserve(states_.size());
  for (const auto& [vm, state] : states_) {
    all.push_back(&state.replica);
  }
  for (std::size_t i = 0; i < all.size(); ++i) {
    std::swap(all[i], all[i + DrawBelow(random_, all.size() - i)]);
  }
  std::set<ServiceId> drawn_services;
  const auto others = std::stable_partition(
      all.begin(), all.end(), [&](const Replica* replica) {
        return drawn_services.insert(replica->service).second;
      });
  const auto first_of_each =
      static_cast<std::size_t>(std::distance(all.begin(), others));
  std::vector<Replica> drawn;
  drawn.reserve(all.size());
  for (std::size_t i = 0;
       i < std::min(std::max(count, first_of_each), all.size()); ++i) {
    drawn.push_back(*all[i]);
  }
  return drawn;
}

void ReplicaSelector::OnCancelled(AttemptNumber attempt) {
  const auto found = attempts_.find(attempt);
  if (found == attempts_.end()) {
    return;
  }
  const Attempt ended = found->second;
  attempts_.erase(found);
  RemoveLoad(ended);
  if (State* state = FindTarget(ended)) {
    state->backoff.OnAbandoned();
  }
}

}  // namespace gcw
