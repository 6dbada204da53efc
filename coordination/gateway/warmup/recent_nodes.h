#ifndef COORDINATION_GATEWAY_WARMUP_RECENT_NODES_H_
#define COORDINATION_GATEWAY_WARMUP_RECENT_NODES_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string_view>
#include <vector>

#include "core/core.h"

namespace gcw {

// The nodes that this node's view lists, or has listed until recently. Nodes
// see a change of the fleet at different times; what is derived from all recent
// nodes is never used by two nodes at once because of that.
class RecentNodes {
 public:
  // `memory` is how long a change of the fleet takes to reach all nodes.
  explicit RecentNodes(Duration memory) : memory_(memory) {}

  // Takes in the nodes that the view lists now.
  void Update(Time now, NodeId self, const std::set<NodeId>& listed);
  // Forgets the nodes that have left long ago.
  void Tick(Time now);

  // Whether the view has listed this node for long enough that all other nodes
  // know it.
  bool IsEstablished(Time now) const;
  // Whether this node is among the `count` nodes that are preferred for the key
  // over all recent nodes.
  bool IsAmongFirst(std::string_view key, std::size_t count) const;

  std::size_t size() const { return nodes_.size(); }
  // Number of changes so far; results of `IsAmongFirst` hold until the next.
  std::uint64_t changes() const { return changes_; }

 private:
  struct Node {
    Time listed_since;
    // When the view no longer listed it; `Time()` while it does.
    Time left;
  };

  Duration memory_;
  NodeId self_;
  std::map<NodeId, Node> nodes_;
  std::uint64_t changes_ = 0;
};

}  // namespace gcw

#endif  // COORDINATION_GATEWAY_WARMUP_RECENT_NODES_H_
