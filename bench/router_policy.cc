#include <unordered_map>
#include <utility>

#include "bench/routing_policy.h"

namespace gcw::bench {
namespace {

// Drives the router in the same way as a node's core.
class RouterDriver final : public RoutingPolicy {
 public:
  RouterDriver(const RouterSettings& settings, const PolicyContext& context)
      : router_(RouterBuilder()
                    .SetSettings(settings)
                    .SetRandom(SeededRandom(context.seed))
                    .Build()) {
    router_->SetNodeCount(context.nodes);
  }

  void OnEndpointUp(Time now, const Endpoint& endpoint) override {
    router_->OnEndpointUp(now, endpoint);
  }
  void OnEndpointDown(Time now, const EndpointId& endpoint) override {
    router_->OnEndpointDown(now, endpoint);
  }
  void OnLoadReport(Time now, const LoadReport& report) override {
    router_->OnLoadReport(now, report);
  }
  void OnCacheEvents(Time now,
                     const Endpoint& endpoint,
                     const CacheEventBatch& batch) override {
    router_->OnCacheEvents(now, endpoint.id, endpoint.generation, batch);
  }
  bool uses_cache_events() const override { return true; }
  std::optional<EndpointId> Dispatch(
      Time now,
      std::uint64_t attempt,
      const RequestProfile& profile,
      std::span<const EndpointId> excluded) override {
    const auto result = router_->Choose(now, profile, excluded);
    if (!IsOk(result)) {
      return std::nullopt;
    }
    const Route& route = ValueOf(result);
    tickets_[attempt] = router_->OnDispatched(now, route, profile);
    return route.endpoint->id;
  }
  void OnFirstByte(Time now, std::uint64_t attempt) override {
    router_->OnFirstByte(now, tickets_[attempt]);
  }
  void OnFinished(Time now,
                  std::uint64_t attempt,
                  std::int64_t generated) override {
    router_->OnFinished(now, tickets_[attempt], TokenCount(generated));
    tickets_.erase(attempt);
  }
  void OnFailed(Time now, std::uint64_t attempt) override {
    router_->OnFailed(now, tickets_[attempt]);
    tickets_.erase(attempt);
  }
  void Tick(Time now) override { router_->Tick(now); }

 private:
  std::unique_ptr<Router> router_;
  std::unordered_map<std::uint64_t, DispatchTicket> tickets_;
};

}  // namespace

RouterSettings BenchRouterSettings(const PolicyContext& context) {
  RouterSettings settings;
  settings.zone = context.zone;
  settings.distances = context.distances;
  return settings;
}

NamedPolicy RouterPolicy(std::string name,
                         std::function<void(RouterSettings&)> change) {
  return {std::move(name),
          [change = std::move(change)](const PolicyContext& context) {
            RouterSettings settings = BenchRouterSettings(context);
            change(settings);
            return std::make_unique<RouterDriver>(settings, context);
          }};
}

}  // namespace gcw::bench
