#ifndef COORDINATION_LIMITS_LIMIT_TOPOLOGY_H_
#define COORDINATION_LIMITS_LIMIT_TOPOLOGY_H_

#include <cstdint>
#include <map>
#include <vector>

#include "coordination/limits/limit_settings.h"
#include "core/core.h"

namespace gcw {

// A live node of the membership view.
struct LimitPeer {
  NodeId node;
  ZoneId zone;
};

// Decides where this node sends its reports and how many nodes share the
// floors. Nodes may differ in their views and known owners; a wrong one delays
// grants but does not affect safety.
class LimitTopology {
 public:
  LimitTopology(NodeId self, ZoneId zone, LimitSettings settings);

  void OnView(Time now, const std::vector<LimitPeer>& peers);
  void OnOwner(LimitShard shard, const NodeId& owner, FencingToken fence);

  // Empty if no owner is known.
  NodeId Owner(LimitShard shard) const;
  // The relay or owner that receives this node's own reports.
  NodeId Upstream(LimitShard shard) const;

  // Number of live nodes; it sets the periods and whether there are relays.
  std::int64_t live_nodes() const { return live_nodes_; }
  // Number of nodes that may be using a floor: those that were in the view
  // within `floor_reservation_ttl`, and at least `min_floor_nodes`.
  std::int64_t FloorNodes() const;
  // This node's floor of a concurrency limit in whole requests. The remainder
  // of the division goes to the first nodes by rendezvous hashing.
  std::int64_t FloorConcurrency(const ContractId& contract,
                                std::int64_t limit) const;

  const NodeId& self() const { return self_; }
  const LimitSettings& settings() const { return settings_; }
  // Changes whenever a floor may have changed.
  std::int64_t floor_version() const { return floor_version_; }

 private:
  void ChooseRelays(const std::vector<LimitPeer>& peers);

  NodeId self_;
  ZoneId zone_;
  LimitSettings settings_;
  std::int64_t live_nodes_ = 1;
  // When each node was last in the view.
  std::map<NodeId, Time> last_seen_;
  std::map<LimitShard, std::pair<FencingToken, NodeId>> owners_;
  // This node's relay by shard; empty in small fleets.
  std::vector<NodeId> relays_;
  std::int64_t floor_version_ = 0;
};

}  // namespace gcw

#endif  // COORDINATION_LIMITS_LIMIT_TOPOLOGY_H_
