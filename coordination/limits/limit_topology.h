#ifndef COORDINATION_LIMITS_LIMIT_TOPOLOGY_H_
#define COORDINATION_LIMITS_LIMIT_TOPOLOGY_H_

#include <cstdint>
#include <map>
#include <vector>

#include "coordination/limits/limit_settings.h"
#include "core/core.h"

namespace gcw {

// A live node as the membership view shows it.
struct LimitPeer {
  NodeId node;
  ZoneId zone;
};

// Who reports to whom, and between how many nodes a floor is divided. Views
// and owners may differ between nodes: a wrong guess costs time, not safety.
class LimitTopology {
 public:
  LimitTopology(NodeId self, ZoneId zone, LimitSettings settings);

  void OnView(Time now, const std::vector<LimitPeer>& peers);
  void OnOwner(LimitShard shard, const NodeId& owner, FencingToken fence);

  // Empty where nobody is known.
  NodeId Owner(LimitShard shard) const;
  // Where this node reports its own demand.
  NodeId Upstream(LimitShard shard) const;

  // Live nodes; decides periods and relays.
  std::int64_t live_nodes() const { return live_nodes_; }
  // Nodes that may be using a floor: those in the view or in it not long ago.
  std::int64_t FloorNodes() const;
  // This node's floor of a concurrency limit, in whole requests: the odd units
  // go to the first nodes by rendezvous hashing.
  std::int64_t FloorConcurrency(const ContractId& contract,
                                std::int64_t limit) const;

  const NodeId& self() const { return self_; }
  const LimitSettings& settings() const { return settings_; }
  // Changes whenever a floor may have changed.
  std::int64_t version() const { return version_; }

 private:
  void FindRelays(const std::vector<LimitPeer>& peers);

  NodeId self_;
  ZoneId zone_;
  LimitSettings settings_;
  std::int64_t live_nodes_ = 1;
  // By when each node was last in the view.
  std::map<NodeId, Time> known_;
  std::map<LimitShard, std::pair<FencingToken, NodeId>> owners_;
  // This node's relay by shard; empty in small fleets.
  std::vector<NodeId> relays_;
  std::int64_t version_ = 0;
};

}  // namespace gcw

#endif  // COORDINATION_LIMITS_LIMIT_TOPOLOGY_H_
