#ifndef COORDINATION_ROUTING_ENDPOINT_POOL_H_
#define COORDINATION_ROUTING_ENDPOINT_POOL_H_

#include <cstdint>
#include <span>
#include <vector>

#include "coordination/requests/request.h"
#include "coordination/routing/endpoint_state.h"
#include "coordination/routing/router_settings.h"

namespace gcw {

// What `EndpointPool::Choose` needs beside the endpoints.
struct ChooseInput {
  Time now;
  const RequestProfile& profile;
  std::span<const EndpointId> excluded;
  // Only these may be chosen; all where empty.
  std::span<const EndpointId> allowed;
  // Endpoints believed to hold part of the prompt, the longest first.
  std::span<const PrefixMatch> holders;
  // By slot: blocks of the prompt believed to be held.
  std::span<const double> cached_blocks;
  // Nodes that route to the same endpoints, with this one.
  std::int64_t nodes = 1;
};

// The endpoints of one model or plain service, and the choice among them.
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

  // Without a prompt of its own.
  double WaitMillis(Time now,
                    const EndpointState& state,
                    std::int64_t nodes) const;
  // What this node's share of the free places would carry.
  double SpareRequestsPerSecond(Time now, std::int64_t nodes) const;
  const StragglerDetector& stragglers() const { return stragglers_; }

 private:
  struct Candidate {
    EndpointSlot slot;
    double cost = 0;
    double first_byte_millis = 0;
    double uncached_tokens = 0;
  };
  // Which endpoints may be chosen.
  enum class Scope { kHealthySample, kHealthy, kAny };

  PeerAssumption Peers(Time now, std::int64_t nodes) const;
  bool IsExcluded(const ChooseInput& input, EndpointSlot slot) const;
  bool IsHealthy(Time now, EndpointSlot slot) const;
  void Collect(const ChooseInput& input, Scope scope, const Random& random);
  void CollectSample(const ChooseInput& input,
                     const PeerAssumption& peers,
                     const Random& random);
  void Consider(const ChooseInput& input,
                const PeerAssumption& peers,
                Scope scope,
                EndpointSlot slot);
  Candidate CandidateFor(const ChooseInput& input,
                         const PeerAssumption& peers,
                         EndpointSlot slot) const;
  double QueueMillis(const LoadEstimate& load) const;
  double OccupancyMillis(const LoadEstimate& load) const;
  bool TakeProbe(const ChooseInput& input, Candidate& probe) const;
  const Candidate& Draw(const Random& random);
  Route RouteTo(const Candidate& candidate, bool is_probe) const;
  const EndpointState& StateOf(EndpointSlot slot) const;
  double RatePerMilli(Time now, double sum) const;

  const RouterSettings& settings_;
  const std::vector<EndpointState>& endpoints_;
  std::vector<EndpointSlot> slots_;
  StragglerDetector stragglers_;
  double service_millis_;
  // Requests and prompt tokens that this node sent, fading with time.
  double sent_requests_ = 0;
  double sent_tokens_ = 0;
  Time sent_updated_;
  // Scratch space of `Choose`.
  std::vector<Candidate> candidates_;
  std::vector<std::size_t> near_best_;
};

}  // namespace gcw

#endif  // COORDINATION_ROUTING_ENDPOINT_POOL_H_
