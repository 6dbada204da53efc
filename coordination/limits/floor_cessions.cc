#include "coordination/limits/floor_cessions.h"

#include <algorithm>

namespace gcw {

void FloorCessions::Cede(const NodeId& node, Time until) {
  Time& end = ends_[node];
  end = std::max(end, until);
}

bool FloorCessions::Covers(const NodeId& node, Time until) const {
  const auto found = ends_.find(node);
  return found != ends_.end() && found->second >= until;
}

std::int64_t FloorCessions::CountCoveredUntil(Time until) const {
  return std::count_if(ends_.begin(), ends_.end(), [until](const auto& entry) {
    return entry.second >= until;
  });
}

std::vector<NodeId> FloorCessions::NodesCoveredUntil(Time until) const {
  std::vector<NodeId> nodes;
  nodes.reserve(ends_.size());
  for (const auto& [node, end] : ends_) {
    if (end >= until) {
      nodes.push_back(node);
    }
  }
  // Sorted, because the map's order may differ between builds.
  std::sort(nodes.begin(), nodes.end());
  return nodes;
}

void FloorCessions::DropExpired(Time now) {
  std::erase_if(ends_,
                [now](const auto& entry) { return entry.second <= now; });
}

}  // namespace gcw
