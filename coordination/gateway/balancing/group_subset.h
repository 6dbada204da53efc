#ifndef COORDINATION_GATEWAY_BALANCING_GROUP_SUBSET_H_
#define COORDINATION_GATEWAY_BALANCING_GROUP_SUBSET_H_

#include <cstddef>
#include <string_view>
#include <vector>

#include "core/core.h"

namespace gcw {

// Assigns each node of a data centre a few groups of a model (deterministic
// subsetting). A node that sends its requests to few groups gets load reports
// from each of them more often.
//
// Nodes and groups are each sorted by a hash and spread evenly over a circle; a
// node takes the groups that follow its position. Each group thus gets the same
// number of nodes, give or take one. When a node joins or leaves, the others
// move by less than the distance of two nodes, so that about half as many of
// them change a group as there are groups.
class GroupSubset {
 public:
  // `size` is the number of groups that a node takes.
  explicit GroupSubset(std::size_t size) : size_(size) {}

  // Sets the nodes of the data centre. Without `self` among them, no group is
  // preferred.
  void SetNodes(NodeId self, std::vector<NodeId> nodes);

  // Returns the groups that this node prefers, by the VMs of their first
  // members. Different keys give a node independent positions.
  std::vector<VmId> Select(std::string_view key,
                           std::vector<VmId> groups) const;
  // Returns how many nodes prefer each of `groups` groups, on average.
  double NodesPerGroup(std::size_t groups) const;

 private:
  // Returns the position of this node among all nodes.
  std::size_t Position(std::string_view key) const;

  std::size_t size_;
  NodeId self_;
  // Empty if this node is not among the nodes.
  std::vector<NodeId> nodes_;
};

}  // namespace gcw

#endif  // COORDINATION_GATEWAY_BALANCING_GROUP_SUBSET_H_
