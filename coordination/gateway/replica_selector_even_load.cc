// Choice among the few replicas of a model that this node prefers.

#include "coordination/gateway/replica_selector.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <set>
#include <string>
#include <utility>

namespace gcw {
namespace {

// Mean fill below which a rejection means that requests were spread unevenly.
constexpr double kFillWithRoom = 2.0 / 3;

// In smaller fleets each node sends enough requests to know the loads of all
// groups, and a node whose two groups are lost or overrun is worse off than one
// that uses all: with 63 nodes and many lost groups, callers got 0.526 of the
// requests' value rather than 0.611.
constexpr double kMinNodes = 80;

}  // namespace

void ReplicaSelector::UpdatePreferred(const ServiceId& service,
                                      const ModelId& model) {
  if (!settings_.even_load.is_enabled) {
    return;
  }
  std::vector<VmId> near;
  for (const auto& [vm, state] : states_) {
    const Replica& replica = state.replica;
    if (replica.service == service && replica.model == model &&
        replica.zone == zone_) {
      near.push_back(vm);
    }
  }
  const std::string key = service.value() + "/" + model.value();
  const std::vector<VmId> selected =
      node_count_ < kMinNodes ? std::vector<VmId>() : subset_.Select(key, near);
  const std::set<VmId> preferred(selected.begin(), selected.end());
  for (const VmId& vm : near) {
    states_.at(vm).preferring_nodes =
        preferred.contains(vm) ? subset_.NodesPerGroup(near.size()) : 0;
  }
}

void ReplicaSelector::UpdateAllPreferred() {
  std::set<std::pair<ServiceId, ModelId>> models;
  for (const auto& [vm, state] : states_) {
    models.emplace(state.replica.service, state.replica.model);
  }
  for (const auto& [service, model] : models) {
    UpdatePreferred(service, model);
  }
}

GroupLoad ReplicaSelector::LoadOf(Time now, const State& state) const {
  GroupLoad load;
  load.slots = static_cast<double>(state.replica.slots);
  load.service_ms = state.replica.service_ms;
  load.local_requests = static_cast<double>(state.in_flight);
  const Duration age = now - state.load_reported_at;
  if (state.load_reported_at != Time() && age <= settings_.load_report_ttl) {
    load.known = {
        static_cast<double>(state.load.running + state.load.waiting +
                            state.sent_since_report - state.ended_since_report),
        age};
  }
  return load;
}

LoadEstimator ReplicaSelector::MakeEstimator(Time now,
                                             const ServiceId& service,
                                             const ModelId& model) const {
  LoadEstimator estimator;
  for (const auto& [vm, state] : states_) {
    if (state.replica.service == service && state.replica.model == model) {
      estimator.Add(LoadOf(now, state));
    }
  }
  return estimator;
}

void ReplicaSelector::CountRejection(Time now, const Replica& replica) {
  const std::optional<double> fill =
      MakeEstimator(now, replica.service, replica.model).mean_fill();
  rejected_with_room_ += fill && *fill < kFillWithRoom ? 1 : 0;
}

std::vector<ModelLoad> ReplicaSelector::ModelLoads(Time now) const {
  struct Known {
    std::int64_t preferred = 0;
    std::int64_t count = 0;
    double fill = 0;
    double fill_squares = 0;
    Duration age;
  };
  std::map<std::pair<ServiceId, ModelId>, Known> models;
  for (const auto& [vm, state] : states_) {
    Known& known = models[{state.replica.service, state.replica.model}];
    known.preferred += state.preferring_nodes > 0 ? 1 : 0;
    const GroupLoad load = LoadOf(now, state);
    if (load.known) {
      const double fill = load.known->requests / load.slots;
      ++known.count;
      known.fill += fill;
      known.fill_squares += fill * fill;
      known.age = known.age + load.known->age;
    }
  }
  std::vector<ModelLoad> loads;
  loads.reserve(models.size());
  for (const auto& [id, known] : models) {
    ModelLoad load{id.first, id.second, known.preferred, 0, Duration()};
    if (known.count > 0) {
      const auto count = static_cast<double>(known.count);
      const double mean = known.fill / count;
      load.fill_spread =
          std::sqrt(std::max(0.0, known.fill_squares / count - mean * mean));
      load.report_age = known.age / known.count;
    }
    loads.push_back(std::move(load));
  }
  return loads;
}

bool ReplicaSelector::ComparePreferred(
    Time now,
    const ReplicaDemand& demand,
    const Candidates& candidates,
    std::optional<ReplicaChoice>& best) const {
  std::vector<const State*> preferred;
  std::vector<const State*> others = candidates.far;
  for (const State* state : candidates.near) {
    (state->preferring_nodes > 0 ? preferred : others).push_back(state);
  }
  if (preferred.empty()) {
    return false;
  }
  const LoadEstimator estimator =
      MakeEstimator(now, demand.service, demand.model);
  const auto compare = [&](const State& state) {
    const double requests = estimator.Estimate(LoadOf(now, state))
                                .value_or(ExpectedRequests(now, state));
    const double cost = ExpectedWait(now, state, demand, requests) +
                        settings_.jitter_ms * DrawUnit(random_);
    if (!best || cost < best->expected_wait_ms) {
      best = ReplicaChoice{state.replica, cost};
    }
  };
  for (const State* state : preferred) {
    compare(*state);
  }
  if (!others.empty()) {
    compare(*others[DrawBelow(random_, others.size())]);
  }
  for (const State* state : candidates.limited) {
    compare(*state);
  }
  return true;
}

}  // namespace gcw
