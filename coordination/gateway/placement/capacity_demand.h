#ifndef COORDINATION_GATEWAY_PLACEMENT_CAPACITY_DEMAND_H_
#define COORDINATION_GATEWAY_PLACEMENT_CAPACITY_DEMAND_H_

#include <cstddef>
#include <map>
#include <optional>
#include <set>

#include "state/state.h"

namespace gcw {

struct CapacityDemandSettings {
  // Time constant of the exponential moving averages. A shorter one would move
  // groups with each burst, which is over before the next group serves.
  Duration averaging_time = Duration::Seconds(4);
  // Groups that each model needs beyond those that its requests fill. A large
  // group that loses a member is formed again within 2 to 16 s, and a model
  // with few groups cannot do without it meanwhile.
  double spare_groups = 1;
  // Maximum load of a group that counts, as a multiple of its capacity. Engines
  // bound their queues, so reports above it say no more.
  double max_load = 2;
  // Value of covering a model's work, as a factor for each rank below the most
  // urgent model of the service. With 0.85 a model two ranks below keeps three
  // quarters of the coverage of the most urgent one when VMs are scarce.
  double rank_discount = 0.85;
};

// How many groups of a model serve and how many its requests need, for
// operators.
struct ModelPlacement {
  ServiceId service;
  ModelId model;
  std::size_t serving = 0;
  double needed = 0;
};

// Estimates how many groups each model of a service needs, and how urgent its
// requests are, for services whose requests differ in rank.
//
// Load pattern: requests of one rank fill the groups of their model and wait
// while the groups of another model, which serves less urgent requests, have
// room to spare. The configured shares of the work describe neither.
class CapacityDemand {
 public:
  explicit CapacityDemand(CapacityDemandSettings settings)
      : settings_(settings) {}

  // A caller's request arrived at this node. All nodes get a similar mix.
  void OnRequest(const ModelId& model, Rank rank, TokenCount prompt_tokens);
  // One of the model's `groups` serving groups has this many running and
  // waiting requests.
  void OnGroupLoad(Time now,
                   const EngineProfile& profile,
                   const ModelId& model,
                   double requests,
                   std::size_t groups);

  // Returns the profile with each model's share of the needed VMs and its
  // importance; the profile itself until the loads of all models have been
  // observed for the averaging time. Engines fill up only within some seconds
  // after the first requests.
  EngineProfile ApplyTo(Time now, const EngineProfile& profile) const;

  // Returns the number of groups whose capacity the model's requests use; 0
  // before any load of the model is known.
  double NeededGroups(const ModelId& model) const;

 private:
  struct Estimate {
    double needed_groups = 0;
    Time first_report;
    Time updated;
    // Averages over requests; absent before the first one.
    std::optional<double> rank = {};
    double prompt_tokens = 0;
  };

  // VMs that the model needs.
  double NeededVms(const ModelProfile& model, const Estimate& estimate) const;

  CapacityDemandSettings settings_;
  // Only models whose groups reported a load, since callers can name any.
  std::map<ModelId, Estimate> estimates_;
};

// Returns the part of its maximum throughput at which an engine works that has
// this many running and waiting requests with prompts of this size; more than 1
// if requests wait. It is higher than the part of the slots that are taken,
// since prompts are read between the steps of the requests that run.
double EngineLoad(const EngineProfile& profile,
                  double prompt_tokens,
                  double requests);

// Returns the services with engines whose routes differ in rank.
std::set<ServiceId> FindRankedServices(const FleetConfiguration& configuration);

}  // namespace gcw

#endif  // COORDINATION_GATEWAY_PLACEMENT_CAPACITY_DEMAND_H_
