#include "coordination/gateway/balancing/group_subset.h"

#include <algorithm>
#include <cstdint>
#include <utility>

#include "coordination/rendezvous.h"

namespace gcw {

void GroupSubset::SetNodes(NodeId self, std::vector<NodeId> nodes) {
  self_ = std::move(self);
  nodes_ = std::move(nodes);
  if (std::find(nodes_.begin(), nodes_.end(), self_) == nodes_.end()) {
    nodes_.clear();
  }
}

std::size_t GroupSubset::Position(std::string_view key) const {
  const std::pair own = {RendezvousScore(key, self_), self_};
  return static_cast<std::size_t>(
      std::count_if(nodes_.begin(), nodes_.end(), [&](const NodeId& node) {
        return std::pair(RendezvousScore(key, node), node) < own;
      }));
}

std::vector<VmId> GroupSubset::Select(std::string_view key,
                                      std::vector<VmId> groups) const {
  if (nodes_.empty()) {
    return {};
  }
  if (groups.size() <= size_) {
    return groups;
  }
  std::vector<std::pair<std::uint64_t, VmId>> sorted;
  sorted.reserve(groups.size());
  for (VmId& group : groups) {
    const std::uint64_t score = RendezvousScore(key, NodeId(group.value()));
    sorted.emplace_back(score, std::move(group));
  }
  std::sort(sorted.begin(), sorted.end());
  const std::size_t first = Position(key) * sorted.size() / nodes_.size();
  std::vector<VmId> selected;
  selected.reserve(size_);
  for (std::size_t i = 0; i < size_; ++i) {
    selected.push_back(std::move(sorted[(first + i) % sorted.size()].second));
  }
  return selected;
}

double GroupSubset::NodesPerGroup(std::size_t groups) const {
  return static_cast<double>(nodes_.size() * std::min(size_, groups)) /
         static_cast<double>(std::max<std::size_t>(1, groups));
}

}  // namespace gcw
