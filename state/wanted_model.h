#ifndef STATE_WANTED_MODEL_H_
#define STATE_WANTED_MODEL_H_

#include <cstdint>
#include <map>
#include <vector>

#include "core/core.h"

namespace gcw {

// How many groups of a model a zone should have.
struct GroupTarget {
  // Fewer than this many serving groups count as downtime.
  std::int64_t wanted = 0;
  // Free VMs may form groups up to this many, so that accelerators are not left
  // idle. Groups above `wanted` are the first to give VMs up.
  std::int64_t most = 0;

  friend bool operator==(const GroupTarget&, const GroupTarget&) = default;
};

// A model that operators want served, as settings hold it.
struct WantedModel {
  ModelId model;
  std::int64_t vms_per_group = 1;
  // When VMs are short, a lower number is served first.
  Rank rank;
  std::map<ZoneId, GroupTarget> targets;

  friend bool operator==(const WantedModel&, const WantedModel&) = default;
};

// What one second of each kind of loss costs an operator; only their ratio
// matters.
struct RepairWeights {
  // A wanted group that cannot serve.
  double group_downtime = 1;
  // An accelerator whose group is incomplete, or that has none.
  double stranded_accelerator = 1;

  friend bool operator==(const RepairWeights&, const RepairWeights&) = default;
};

}  // namespace gcw

#endif  // STATE_WANTED_MODEL_H_
