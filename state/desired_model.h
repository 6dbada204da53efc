#ifndef STATE_DESIRED_MODEL_H_
#define STATE_DESIRED_MODEL_H_

#include <cstdint>
#include <map>
#include <vector>

#include "core/core.h"

namespace gcw {

// Number of groups of a model that a zone should have.
struct GroupTarget {
  // Fewer serving groups than this count as downtime.
  std::int64_t min_groups = 0;
  // Free VMs may form groups up to this number, so that accelerators are not
  // left idle. Groups above `min_groups` are the first to give up VMs.
  std::int64_t max_groups = 0;

  friend bool operator==(const GroupTarget&, const GroupTarget&) = default;
};

// A model that operators want to be served, as configured in settings.
struct DesiredModel {
  ModelId model;
  std::int64_t vms_per_group = 1;
  // Priority when VMs are short; a lower number is served first.
  Rank rank;
  std::map<ZoneId, GroupTarget> targets;

  friend bool operator==(const DesiredModel&, const DesiredModel&) = default;
};

// Cost to an operator of one second of each kind of loss; only the ratio
// matters.
struct RepairWeights {
  // A required group that cannot serve.
  double group_downtime = 1;
  // An accelerator whose group is incomplete, or that has no group.
  double stranded_accelerator = 1;

  friend bool operator==(const RepairWeights&, const RepairWeights&) = default;
};

}  // namespace gcw

#endif  // STATE_DESIRED_MODEL_H_
