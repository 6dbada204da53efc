#ifndef COORDINATION_LIMITS_FLOOR_CESSIONS_H_
#define COORDINATION_LIMITS_FLOOR_CESSIONS_H_

#include <cstdint>
#include <unordered_map>
#include <vector>

#include "core/core.h"

namespace gcw {

// Nodes that have ceded their floor, and until when on this node's clock. A
// node that is not listed may be cut off and using its floor, limit / nodes,
// without a grant, so its floor must stay reserved.
class FloorCessions {
 public:
  // A cession stays in force until its end, also if a later one ends earlier.
  void Cede(const NodeId& node, Time until);
  bool Covers(const NodeId& node, Time until) const;
  std::int64_t CountCoveredUntil(Time until) const;
  std::vector<NodeId> NodesCoveredUntil(Time until) const;
  void DropExpired(Time now);

 private:
  std::unordered_map<NodeId, Time> ends_;
};

}  // namespace gcw

#endif  // COORDINATION_LIMITS_FLOOR_CESSIONS_H_
