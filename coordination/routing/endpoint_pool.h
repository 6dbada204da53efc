#ifndef COORDINATION_ROUTING_ENDPOINT_POOL_H_
#define COORDINATION_ROUTING_ENDPOINT_POOL_H_

#include <cstdint>
#include <span>
#include <vector>

#include "coordination/requests/request.h"
#include "coordination/routing/endpoint_state.h"
#include "coordination/routing/router_settings.h"

namespace gcw {

// The input of `EndpointPool::Choose`.
struct ChooseInput {
  Time now;
  const RequestProfile& profile;
  std::span<const EndpointId> excluded;
  // Only these endpoints may be chosen; if empty, all may.
  std::span<const EndpointId> allowed;
  // Endpoints that likely hold part of the prompt, the longest prefix first.
  std::span<const PrefixMatch> holders;
  // Number of prompt blocks that an endpoint likely holds, by slot.
  std::span<const double> cached_blocks;
  // Number of nodes that route to the same endpoints, including this one.
  std::int64_t node_count = 1;
};

// Holds the endpoints of one model or plain service and chooses among them.
class EndpointPool {
 public:
  // `endpoints` is the router's table by slot and outlives the pool.
  EndpointPool(const RouterSettings& settings,
               const std::vector<EndpointState>& endpoints);

  void Add(EndpointSlot slot);
  void Remove(EndpointSlot slot);
  bool empty() const { return slots_.empty(); }

  Result<Route, RefusalKind> Choose(const ChooseInput& input,
                                    const Random& random);
  void OnDispatched(Time now, const Route& route);
  void OnFinished(Time now,
                  EndpointSlot slot,
                  Duration service,
                  double millis_per_token);
  std::vector<StragglerAction> Tick(Time now);

  // Expected wait of a new request, without the time to compute its own prompt.
  double WaitMillis(Time now,
                    const EndpointState& state,
                    std::int64_t node_count) const;
  // The request rate that this node's share of the free batch capacity can
  // serve.
  double SpareRequestsPerSecond(Time now, std::int64_t node_count) const;
  const StragglerDetector& stragglers() const { return stragglers_; }

 private:
  struct Candidate {
    EndpointSlot slot;
    double cost = 0;
    double first_byte_millis = 0;
    double uncached_tokens = 0;
  };
  // The endpoints that may become candidates: a bounded sample of the healthy
  // ones, all healthy ones, or all.
  enum class Scope { kHealthySample, kHealthy, kAny };

  PeerLoadModel MakePeerLoadModel(Time now, std::int64_t node_count) const;
  bool IsExcluded(const ChooseInput& input, EndpointSlot slot) const;
  bool IsHealthy(Time now, EndpointSlot slot) const;
  void CollectCandidates(const ChooseInput& input,
                         Scope scope,
                         const Random& random);
  void CollectSample(const ChooseInput& input,
                     const PeerLoadModel& peers,
                     const Random& random);
  void AddIfEligible(const ChooseInput& input,
                     const PeerLoadModel& peers,
                     Scope scope,
                     EndpointSlot slot);
  Candidate CandidateFor(const ChooseInput& input,
                         const PeerLoadModel& peers,
                         EndpointSlot slot) const;
  double QueueMillis(const LoadEstimate& load) const;
  double OccupancyMillis(const LoadEstimate& load) const;
  bool ChooseProbe(const ChooseInput& input, Candidate& probe) const;
  const Candidate& DrawBetterOfTwo(const Random& random);
  Route RouteTo(const Candidate& candidate, bool is_probe) const;
  const EndpointState& StateOf(EndpointSlot slot) const;
  double RatePerMilli(Time now, double sum) const;

  const RouterSettings& settings_;
  const std::vector<EndpointState>& endpoints_;
  std::vector<EndpointSlot> slots_;
  StragglerDetector stragglers_;
  double service_millis_;
  // Requests and prompt tokens that this node sent, decaying exponentially.
  double sent_requests_ = 0;
  double sent_tokens_ = 0;
  Time sent_updated_;
  // Scratch space for `Choose`.
  std::vector<Candidate> candidates_;
  std::vector<std::size_t> near_best_;
};

}  // namespace gcw

#endif  // COORDINATION_ROUTING_ENDPOINT_POOL_H_
