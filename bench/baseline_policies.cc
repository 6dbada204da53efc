#include <algorithm>
#include <unordered_map>
#include <utility>

#include "bench/routing_policy.h"

namespace gcw::bench {
namespace {

// Base class of all baselines; maintains the list of endpoints that may be
// used.
class ListPolicy : public RoutingPolicy {
 public:
  explicit ListPolicy(std::uint64_t seed) : random_(SeededRandom(seed)) {}

  void OnEndpointUp(Time /*now*/, const Endpoint& endpoint) override {
    Drop(endpoint.id);
    endpoints_.push_back(endpoint.id);
  }
  void OnEndpointDown(Time /*now*/, const EndpointId& endpoint) override {
    Drop(endpoint);
  }
  std::optional<EndpointId> Dispatch(
      Time now,
      std::uint64_t /*attempt*/,
      const RequestProfile& profile,
      std::span<const EndpointId> excluded) override {
    std::vector<EndpointId> allowed;
    for (const EndpointId& id : endpoints_) {
      if (std::ranges::find(excluded, id) == excluded.end()) {
        allowed.push_back(id);
      }
    }
    if (allowed.empty()) {
      return std::nullopt;
    }
    return Pick(now, profile, allowed);
  }

 protected:
  virtual EndpointId Pick(Time now,
                          const RequestProfile& profile,
                          const std::vector<EndpointId>& allowed) = 0;
  const EndpointId& PickRandom(const std::vector<EndpointId>& ids) {
    return ids[DrawBelow(random_, ids.size())];
  }
  const std::vector<EndpointId>& endpoints() const { return endpoints_; }

 private:
  void Drop(const EndpointId& endpoint) { std::erase(endpoints_, endpoint); }

  Random random_;
  std::vector<EndpointId> endpoints_;
};

class RandomPolicy final : public ListPolicy {
 public:
  using ListPolicy::ListPolicy;

 private:
  EndpointId Pick(Time /*now*/,
                  const RequestProfile& /*profile*/,
                  const std::vector<EndpointId>& allowed) override {
    return PickRandom(allowed);
  }
};

class RoundRobinPolicy final : public ListPolicy {
 public:
  explicit RoundRobinPolicy(std::uint64_t seed)
      : ListPolicy(seed), next_(SeededRandom(seed)() % 1000) {}

 private:
  EndpointId Pick(Time /*now*/,
                  const RequestProfile& /*profile*/,
                  const std::vector<EndpointId>& allowed) override {
    return allowed[next_++ % allowed.size()];
  }

  std::size_t next_;
};

// Picks the endpoint with the least load in the last reports; ties are broken
// at random.
class LeastReportedPolicy final : public ListPolicy {
 public:
  using ListPolicy::ListPolicy;

  void OnLoadReport(Time /*now*/, const LoadReport& report) override {
    loads_[report.endpoint] = report.queued_requests + report.running_requests;
  }

 private:
  EndpointId Pick(Time /*now*/,
                  const RequestProfile& /*profile*/,
                  const std::vector<EndpointId>& allowed) override {
    std::vector<EndpointId> least_loaded;
    std::int64_t min_load = 0;
    for (const EndpointId& id : allowed) {
      const std::int64_t load = loads_[id];
      if (least_loaded.empty() || load < min_load) {
        least_loaded.clear();
        min_load = load;
      }
      if (load == min_load) {
        least_loaded.push_back(id);
      }
    }
    return PickRandom(least_loaded);
  }

  std::unordered_map<EndpointId, std::int64_t> loads_;
};

// Picks the endpoint with the longest known prefix. Ties are broken at random,
// and unknown prompts go to a random endpoint.
class PrefixAffinityPolicy final : public ListPolicy {
 public:
  explicit PrefixAffinityPolicy(std::uint64_t seed)
      : ListPolicy(seed), index_(PrefixIndexSettings()) {}

  void OnEndpointUp(Time now, const Endpoint& endpoint) override {
    ListPolicy::OnEndpointUp(now, endpoint);
    const auto next = static_cast<std::int64_t>(slots_.size());
    const auto [found, is_new] = slots_.try_emplace(endpoint.id, next);
    if (!is_new) {
      index_.Forget(found->second);
    }
  }
  void OnCacheEvents(Time now,
                     const Endpoint& endpoint,
                     const CacheEventBatch& batch) override {
    index_.OnCacheEvents(now, slots_.at(endpoint.id), batch);
  }
  bool uses_cache_events() const override { return true; }
  void Tick(Time now) override { index_.Tick(now); }

 private:
  EndpointId Pick(Time now,
                  const RequestProfile& profile,
                  const std::vector<EndpointId>& allowed) override {
    index_.Match(profile.prefix_blocks, matches_);
    std::unordered_map<EndpointSlot, std::int64_t> blocks;
    for (const PrefixMatch& match : matches_) {
      blocks[match.slot] = match.blocks;
    }
    std::vector<EndpointId> best;
    std::int64_t max_matched = 0;
    for (const EndpointId& id : allowed) {
      const std::int64_t held = blocks[slots_.at(id)];
      if (best.empty() || held > max_matched) {
        best.clear();
        max_matched = held;
      }
      if (held == max_matched) {
        best.push_back(id);
      }
    }
    EndpointId chosen = PickRandom(best);
    index_.OnDispatched(now, slots_.at(chosen), profile.prefix_blocks);
    return chosen;
  }

  PrefixIndex index_;
  std::unordered_map<EndpointId, EndpointSlot> slots_;
  std::vector<PrefixMatch> matches_;
};

template <typename Policy>
NamedPolicy Named(std::string name) {
  return {std::move(name), [](const PolicyContext& context) {
            return std::make_unique<Policy>(context.seed);
          }};
}

}  // namespace

std::vector<NamedPolicy> BaselinePolicies() {
  return {Named<RandomPolicy>("random"), Named<RoundRobinPolicy>("round_robin"),
          Named<LeastReportedPolicy>("least_reported"),
          Named<PrefixAffinityPolicy>("prefix_affinity")};
}

}  // namespace gcw::bench
