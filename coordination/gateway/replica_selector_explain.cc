// Explains to operators how a replica would be chosen.

#include <algorithm>
#include <iterator>
#include <map>
#include <set>
#include <utility>

#include "coordination/gateway/replica_selector.h"

namespace gcw {
namespace {

// With 1,000 draws, a replica's share is known to about three hundredths.
constexpr std::int64_t kMaxDraws = 1000;
// Each draw looks at all candidates, and the node serves no caller meanwhile.
// This many looks take about 30 ms of a whole processor core, so larger fleets
// get fewer draws.
constexpr std::int64_t kMaxLooks = 100'000;
// A constant, so that repeated queries differ only if the state does.
constexpr std::uint64_t kDrawSeed = 1;

}  // namespace

ReplicaExclusion ReplicaSelector::FindExclusion(Time now,
                                                const State& state) const {
  const Replica& replica = state.replica;
  if (!replica.accepts_requests) {
    return ReplicaExclusion::kEvacuated;
  }
  if (!IsUsable(now, state)) {
    return state.backoff.AllowsRequest(now) ? ReplicaExclusion::kStalled
                                            : ReplicaExclusion::kBackoff;
  }
  if (!holds_.MaySend(now, replica.vm, replica.incarnation)) {
    return ReplicaExclusion::kHeld;
  }
  if (!limits_.MaySend(now, replica.vm, replica.incarnation)) {
    return ReplicaExclusion::kLimited;
  }
  return warm_up_.MaySend(now, replica.vm) ? ReplicaExclusion::kFull
                                           : ReplicaExclusion::kCold;
}

SelectionExplanation ReplicaSelector::Explain(
    Time now,
    const ReplicaDemand& demand) const {
  // The draws are made by Choose itself, on a copy with another random source.
  // The copy has only the replicas that Choose considers, because it looks at
  // all of them in each draw.
  ReplicaSelector copy = *this;
  copy.random_ = SeededRandom(kDrawSeed);
  copy.events_ = DiscardEvents();
  std::erase_if(copy.states_, [&](const auto& entry) {
    const Replica& replica = entry.second.replica;
    return replica.service != demand.service || replica.model != demand.model;
  });
  SelectionExplanation explanation;
  explanation.draws = std::clamp<std::int64_t>(
      kMaxLooks / std::max<std::int64_t>(1, std::ssize(copy.states_)), 1,
      kMaxDraws);
  std::map<VmId, std::int64_t> chosen;
  for (std::int64_t i = 0; i < explanation.draws; ++i) {
    const Result<ReplicaChoice, RefusalKind> choice =
        copy.Choose(now, demand, {});
    if (IsOk(choice)) {
      ++chosen[ValueOf(choice).replica.vm];
    } else {
      explanation.refusal = ErrorOf(choice);
    }
  }
  if (!chosen.empty()) {
    explanation.refusal.reset();
  }
  const Candidates candidates = copy.FindCandidates(now, demand, {});
  std::set<const State*> with_room;
  for (const auto* states :
       {&candidates.near, &candidates.far, &candidates.limited}) {
    with_room.insert(states->begin(), states->end());
  }
  // With preferred replicas to compare, Choose corrects the reports for their
  // age.
  const bool compares_preferred = std::any_of(
      candidates.near.begin(), candidates.near.end(),
      [](const State* state) { return state->preferring_nodes > 0; });
  const LoadEstimator estimator =
      copy.MakeEstimator(now, demand.service, demand.model);
  for (const auto& [vm, state] : copy.states_) {
    ReplicaExplanation replica;
    replica.vm = vm;
    replica.group = state.replica.group;
    replica.zone = state.replica.zone;
    replica.slots = state.replica.slots;
    if (state.load_reported_at != Time()) {
      replica.running = state.load.running;
      replica.waiting = state.load.waiting;
      replica.load_age = now - state.load_reported_at;
    }
    replica.is_preferred = state.preferring_nodes > 0;
    replica.expected_requests = copy.ExpectedRequests(now, state);
    if (compares_preferred) {
      replica.expected_requests = estimator.Estimate(copy.LoadOf(now, state))
                                      .value_or(replica.expected_requests);
    }
    replica.expected_wait_ms =
        copy.ExpectedWait(now, state, demand, replica.expected_requests);
    if (!with_room.contains(&state)) {
      replica.exclusion = copy.FindExclusion(now, state);
    }
    replica.chosen_draws = chosen[vm];
    explanation.candidates.push_back(std::move(replica));
  }
  return explanation;
}

}  // namespace gcw
