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

// A way to route, as one node carries it out: the router or a plain baseline.
class RoutingPolicy {
 public:
  virtual ~RoutingPolicy() = default;

  virtual void OnEndpointUp(Time now, const Endpoint& endpoint) = 0;
  virtual void OnEndpointDown(Time now, const EndpointId& endpoint) = 0;
  virtual void OnLoadReport(Time /*now*/, const LoadReport& /*report*/) {}
  virtual void OnCacheEvents(Time /*now*/,
                             const Endpoint& /*endpoint*/,
                             const CacheEventBatch& /*batch*/) {}
  // Whether the world has to carry cache events to this policy.
  virtual bool uses_cache_events() const { return false; }
  // Chooses and notes the dispatch; no value where nothing is left.
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

// What a policy is made for: one node.
struct PolicyPlace {
  ZoneId zone;
  std::vector<ZoneDistance> distances;
  std::int64_t nodes = 1;
  std::uint64_t seed = 1;
};

using PolicyFactory =
    std::function<std::unique_ptr<RoutingPolicy>(const PolicyPlace&)>;

struct NamedPolicy {
  std::string name;
  PolicyFactory make;
};

// The settings that the benchmarks run the router with.
RouterSettings BenchRouterSettings(const PolicyPlace& place);
NamedPolicy RouterPolicy(
    std::string name,
    std::function<void(RouterSettings&)> change = [](RouterSettings&) {});
// Random, round robin, least reported load, prefix affinity alone.
std::vector<NamedPolicy> BaselinePolicies();

}  // namespace gcw::bench

#endif  // BENCH_ROUTING_POLICY_H_
