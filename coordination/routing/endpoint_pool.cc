#include "coordination/routing/endpoint_pool.h"

#include <algorithm>
#include <cmath>

namespace gcw {
namespace {

// Time constant of the decay of this node's send rates.
constexpr double kRateDecayMillis = 10000;
constexpr double kServiceSampleWeight = 0.02;
// Number of endpoints of a large pool that one decision examines, in addition
// to those that hold part of the prompt.
constexpr std::size_t kSampleSize = 96;
constexpr std::size_t kMaxHolders = 16;

Duration RoundedMillis(double millis) {
  return Duration::Millis(static_cast<std::int64_t>(std::llround(millis)));
}

}  // namespace

EndpointPool::EndpointPool(const RouterSettings& settings,
                           const std::vector<EndpointState>& endpoints)
    : settings_(settings),
      endpoints_(endpoints),
      stragglers_(settings.stragglers),
      service_millis_(settings.initial_service_millis) {}

void EndpointPool::Add(EndpointSlot slot) {
  slots_.push_back(slot);
  stragglers_.Add(slot);
}

void EndpointPool::Remove(EndpointSlot slot) {
  std::erase(slots_, slot);
  stragglers_.Remove(slot);
}

Result<Route, RefusalKind> EndpointPool::Choose(const ChooseInput& input,
                                                const Random& random) {
  Candidate probe;
  if (ChooseProbe(input, probe)) {
    return RouteTo(probe, true);
  }
  for (const Scope scope :
       {Scope::kHealthySample, Scope::kHealthy, Scope::kAny}) {
    CollectCandidates(input, scope, random);
    if (!candidates_.empty()) {
      break;
    }
  }
  if (candidates_.empty()) {
    return RefusalKind::kNoEndpoint;
  }
  const Candidate& chosen = DrawBetterOfTwo(random);
  if (input.now + RoundedMillis(chosen.first_byte_millis) >
      input.profile.deadline) {
    return RefusalKind::kDeadline;
  }
  return RouteTo(chosen, false);
}

bool EndpointPool::ChooseProbe(const ChooseInput& input,
                               Candidate& probe) const {
  if (!input.profile.repeatable || !input.excluded.empty() ||
      !input.allowed.empty()) {
    return false;
  }
  const EndpointSlot slot = stragglers_.FindDueProbe(input.now);
  if (slot.value() < 0 || !StateOf(slot).backoff.AllowsRequest(input.now)) {
    return false;
  }
  probe =
      CandidateFor(input, MakePeerLoadModel(input.now, input.node_count), slot);
  return true;
}

void EndpointPool::CollectCandidates(const ChooseInput& input,
                                     Scope scope,
                                     const Random& random) {
  candidates_.clear();
  const PeerLoadModel peers = MakePeerLoadModel(input.now, input.node_count);
  if (scope == Scope::kHealthySample && slots_.size() > kSampleSize &&
      input.allowed.empty()) {
    CollectSample(input, peers, random);
    return;
  }
  for (const EndpointSlot slot : slots_) {
    AddIfEligible(input, peers, scope, slot);
  }
}

// Bounds the cost of a decision in a large pool. Considers the endpoints that
// hold most of the prompt, and a sample at even intervals from a random start.
void EndpointPool::CollectSample(const ChooseInput& input,
                                 const PeerLoadModel& peers,
                                 const Random& random) {
  const std::size_t holders = std::min(input.holders.size(), kMaxHolders);
  for (const PrefixMatch& holder : input.holders.first(holders)) {
    const bool is_own = StateOf(holder.slot).pool == this;
    if (is_own) {
      AddIfEligible(input, peers, Scope::kHealthySample, holder.slot);
    }
  }
  const std::size_t start = DrawBelow(random, slots_.size());
  for (std::size_t i = 0; i < kSampleSize; ++i) {
    const std::size_t index =
        (start + i * slots_.size() / kSampleSize) % slots_.size();
    AddIfEligible(input, peers, Scope::kHealthySample, slots_[index]);
  }
}

void EndpointPool::AddIfEligible(const ChooseInput& input,
                                 const PeerLoadModel& peers,
                                 Scope scope,
                                 EndpointSlot slot) {
  if (IsExcluded(input, slot)) {
    return;
  }
  if (scope == Scope::kAny || IsHealthy(input.now, slot)) {
    candidates_.push_back(CandidateFor(input, peers, slot));
  }
}

bool EndpointPool::IsExcluded(const ChooseInput& input,
                              EndpointSlot slot) const {
  if (input.excluded.empty() && input.allowed.empty()) {
    return false;
  }
  const EndpointId& id = StateOf(slot).endpoint->id;
  const bool is_allowed =
      input.allowed.empty() ||
      std::ranges::find(input.allowed, id) != input.allowed.end();
  return !is_allowed ||
         std::ranges::find(input.excluded, id) != input.excluded.end();
}

bool EndpointPool::IsHealthy(Time now, EndpointSlot slot) const {
  return !stragglers_.IsEjected(slot) &&
         StateOf(slot).backoff.AllowsRequest(now);
}

EndpointPool::Candidate EndpointPool::CandidateFor(const ChooseInput& input,
                                                   const PeerLoadModel& peers,
                                                   EndpointSlot slot) const {
  const EndpointState& state = StateOf(slot);
  const LoadEstimate load = state.load.Estimate(input.now, peers);
  const double cached =
      input.cached_blocks[static_cast<std::size_t>(slot.value())] *
      static_cast<double>(settings_.tokens_per_block);
  const auto prompt = static_cast<double>(input.profile.prompt_tokens.value());
  const double uncached = std::max(0.0, prompt - cached);
  const double other_zone_cost =
      state.distance_millis > 0 ? settings_.other_zone_millis : 0;
  const double millis =
      2 * state.distance_millis + settings_.step_millis + QueueMillis(load) +
      (load.tokens + uncached) / peers.tokens_per_milli + state.overdue_millis;
  return {.slot = slot,
          .cost = millis + OccupancyMillis(load) + other_zone_cost,
          .first_byte_millis = millis,
          .uncached_tokens = uncached};
}

// A request beyond the batch limit waits until enough others have ended.
double EndpointPool::QueueMillis(const LoadEstimate& load) const {
  if (load.batch_limit <= 0) {
    return 0;
  }
  const double excess = load.requests + 1 - load.batch_limit;
  return std::max(0.0, excess) * service_millis_ / load.batch_limit;
}

double EndpointPool::OccupancyMillis(const LoadEstimate& load) const {
  if (load.batch_limit <= 0) {
    return load.requests * settings_.step_millis;
  }
  const double occupancy = load.requests / load.batch_limit;
  return settings_.occupancy_millis * occupancy * occupancy;
}

double EndpointPool::WaitMillis(Time now,
                                const EndpointState& state,
                                std::int64_t node_count) const {
  const PeerLoadModel peers = MakePeerLoadModel(now, node_count);
  const LoadEstimate load = state.load.Estimate(now, peers);
  return QueueMillis(load) + load.tokens / peers.tokens_per_milli +
         state.overdue_millis;
}

double EndpointPool::SpareRequestsPerSecond(Time now,
                                            std::int64_t node_count) const {
  const PeerLoadModel peers = MakePeerLoadModel(now, node_count);
  double free_capacity = 0;
  for (const EndpointSlot slot : slots_) {
    if (IsHealthy(now, slot)) {
      const LoadEstimate load = StateOf(slot).load.Estimate(now, peers);
      free_capacity += std::max(0.0, load.batch_limit - load.requests);
    }
  }
  return free_capacity * 1000 / service_millis_ /
         static_cast<double>(node_count);
}

// Nodes with the same old reports agree on the best endpoint and would overload
// it if all of them chose it. Two endpoints are therefore drawn at random from
// those that are nearly as good, and the better of the two is taken.
const EndpointPool::Candidate& EndpointPool::DrawBetterOfTwo(
    const Random& random) {
  const double min_cost =
      std::ranges::min_element(candidates_, {}, &Candidate::cost)->cost;
  const double limit =
      min_cost * (1 + settings_.near_best_share) + settings_.near_best_millis;
  near_best_.clear();
  for (std::size_t i = 0; i < candidates_.size(); ++i) {
    if (candidates_[i].cost <= limit) {
      near_best_.push_back(i);
    }
  }
  const Candidate& first =
      candidates_[near_best_[DrawBelow(random, near_best_.size())]];
  const Candidate& second =
      candidates_[near_best_[DrawBelow(random, near_best_.size())]];
  return second.cost < first.cost ? second : first;
}

Route EndpointPool::RouteTo(const Candidate& candidate, bool is_probe) const {
  const auto tokens = static_cast<std::int64_t>(candidate.uncached_tokens);
  return {.endpoint = StateOf(candidate.slot).endpoint,
          .slot = candidate.slot,
          .uncached_tokens = TokenCount(tokens),
          .expected_first_byte = RoundedMillis(candidate.first_byte_millis),
          .is_probe = is_probe};
}

void EndpointPool::OnDispatched(Time now, const Route& route) {
  sent_requests_ = RatePerMilli(now, sent_requests_) * kRateDecayMillis + 1;
  sent_tokens_ = RatePerMilli(now, sent_tokens_) * kRateDecayMillis +
                 static_cast<double>(route.uncached_tokens.value());
  sent_updated_ = now;
  if (route.is_probe) {
    stragglers_.OnProbeSent(now, route.slot);
  }
}

double EndpointPool::RatePerMilli(Time now, double sum) const {
  const auto since = static_cast<double>((now - sent_updated_).millis());
  return sum * std::exp(-since / kRateDecayMillis) / kRateDecayMillis;
}

void EndpointPool::OnFinished(Time now,
                              EndpointSlot slot,
                              Duration service,
                              double millis_per_token) {
  const auto millis = static_cast<double>(service.millis());
  service_millis_ += kServiceSampleWeight * (millis - service_millis_);
  service_millis_ = std::max(service_millis_, 1.0);
  if (millis_per_token > 0) {
    stragglers_.OnSample(now, slot, millis_per_token);
  }
}

std::vector<StragglerAction> EndpointPool::Tick(Time now) {
  return stragglers_.Tick(now);
}

PeerLoadModel EndpointPool::MakePeerLoadModel(Time now,
                                              std::int64_t node_count) const {
  const auto endpoints =
      static_cast<double>(std::max<std::size_t>(1, slots_.size()));
  return {
      .other_nodes = static_cast<double>(node_count - 1),
      .similarity = settings_.peer_similarity,
      .mean_requests_per_milli = RatePerMilli(now, sent_requests_) / endpoints,
      .mean_tokens_per_milli = RatePerMilli(now, sent_tokens_) / endpoints,
      .service_millis = service_millis_,
      .tokens_per_milli = settings_.prefill_tokens_per_second / 1000,
      .report_timeout = settings_.report_timeout};
}

const EndpointState& EndpointPool::StateOf(EndpointSlot slot) const {
  return endpoints_[static_cast<std::size_t>(slot.value())];
}

}  // namespace gcw
