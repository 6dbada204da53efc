#ifndef BENCH_ROUTING_POLICY_H_
#define BENCH_ROUTING_POLICY_H_

#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "coordination/coordination.h"

namespace gcw::bench {

// A routing policy as one node runs it: the router or a simple baseline.
class RoutingPolicy {
 public:
  virtual ~RoutingPolicy() = default;

  virtual void OnEndpointUp(Time now, const Endpoint& endpoint) = 0;
  virtual void OnEndpointDown(Time now, const EndpointId& endpoint) = 0;
  virtual void OnLoadReport(Time /*now*/, const LoadReport& /*report*/) {}
  virtual void OnCacheEvents(Time /*now*/,
                             const Endpoint& /*endpoint*/,
                             const CacheEventBatch& /*batch*/) {}
  // True if the simulation must deliver cache events to this policy.
  virtual bool uses_cache_events() const { return false; }
  // Chooses an endpoint and records the dispatch. Returns no value if no
  // endpoint is available.
  virtual std::optional<EndpointId> Dispatch(
      Time now,
      std::uint64_t attempt,
      const RequestProfile& profile,
      std::span<const EndpointId> excluded) = 0;
  virtual void OnFirstByte(Time /*now*/, std::uint64_t /*attempt*/) {}
  virtual void OnFinished(Time /*now*/,
                          std::uint64_t /*attempt*/,
                          std::int64_t /*generated*/) {}
  virtual void OnFailed(Time /*now*/, std::uint64_t /*attempt*/) {}
  virtual void Tick(Time /*now*/) {}
};

// Describes the node that a policy is created for.
struct PolicyContext {
  ZoneId zone;
  std::vector<ZoneDistance> distances;
  std::int64_t nodes = 1;
  std::uint64_t seed = 1;
};

using PolicyFactory =
    std::function<std::unique_ptr<RoutingPolicy>(const PolicyContext&)>;

struct NamedPolicy {
  std::string name;
  PolicyFactory make;
};

// Returns the router settings that the benchmarks use.
RouterSettings BenchRouterSettings(const PolicyContext& context);
NamedPolicy RouterPolicy(
    std::string name,
    std::function<void(RouterSettings&)> change = [](RouterSettings&) {});
// Returns the baselines: random, round robin, least reported load, and prefix
// affinity alone.
std::vector<NamedPolicy> BaselinePolicies();

}  // namespace gcw::bench

#endif  // BENCH_ROUTING_POLICY_H_
