#include "coordination/limits/limit_topology.h"

#include <algorithm>
#include <set>
#include <string>
#include <utility>

#include "coordination/rendezvous.h"
#include "coordination/roles/role_assignment.h"

namespace gcw {
namespace {

RoleName RelayRole(std::int64_t shard) {
  return RoleName("limit_relay/" + std::to_string(shard));
}

}  // namespace

LimitTopology::LimitTopology(NodeId self, ZoneId zone, LimitSettings settings)
    : self_(std::move(self)), zone_(std::move(zone)), settings_(settings) {
  last_seen_.emplace(self_, Time());
}

void LimitTopology::OnView(Time now, const std::vector<LimitPeer>& peers) {
  const std::size_t known_before = last_seen_.size();
  for (const LimitPeer& peer : peers) {
    last_seen_.insert_or_assign(peer.node, now);
  }
  last_seen_.insert_or_assign(self_, now);
  const Time oldest_kept = now - settings_.floor_reservation_ttl;
  const auto erased = std::erase_if(last_seen_, [oldest_kept](const auto& e) {
    return e.second < oldest_kept;
  });
  if (erased > 0 || last_seen_.size() != known_before) {
    ++floor_version_;
  }
  live_nodes_ = std::max<std::int64_t>(1, std::ssize(peers));
  ChooseRelays(peers);
}

// The nodes of a zone are divided into groups, and each group's relays are
// chosen among its members, so that the load is spread and a report never
// crosses zones twice.
void LimitTopology::ChooseRelays(const std::vector<LimitPeer>& peers) {
  relays_.clear();
  if (!settings_.HasRelays(live_nodes_)) {
    return;
  }
  std::vector<NodeId> zone_nodes;
  for (const LimitPeer& peer : peers) {
    if (peer.zone == zone_) {
      zone_nodes.push_back(peer.node);
    }
  }
  std::sort(zone_nodes.begin(), zone_nodes.end());
  const auto count = std::ssize(zone_nodes);
  const std::int64_t groups = (count + settings_.max_nodes_per_relay - 1) /
                              settings_.max_nodes_per_relay;
  const auto own =
      std::lower_bound(zone_nodes.begin(), zone_nodes.end(), self_);
  if (groups == 0 || own == zone_nodes.end()) {
    return;
  }
  const std::int64_t group = (own - zone_nodes.begin()) * groups / count;
  std::vector<NodeId> members;
  for (std::int64_t i = 0; i < count; ++i) {
    if (i * groups / count == group) {
      members.push_back(zone_nodes[static_cast<std::size_t>(i)]);
    }
  }
  // `AssignRoles` limits the shards per node, whatever the hashes are.
  std::set<RoleName> roles;
  for (std::int64_t shard = 0; shard < settings_.shards; ++shard) {
    roles.insert(RelayRole(shard));
  }
  const std::map<RoleName, NodeId> assigned = AssignRoles(roles, members);
  for (std::int64_t shard = 0; shard < settings_.shards; ++shard) {
    relays_.push_back(assigned.at(RelayRole(shard)));
  }
}

void LimitTopology::OnOwner(LimitShard shard,
                            const NodeId& owner,
                            FencingToken fence) {
  auto& current = owners_[shard];
  if (fence >= current.first) {
    current = {fence, owner};
  }
}

NodeId LimitTopology::Owner(LimitShard shard) const {
  const auto found = owners_.find(shard);
  return found == owners_.end() ? NodeId() : found->second.second;
}

NodeId LimitTopology::Upstream(LimitShard shard) const {
  const auto index = static_cast<std::size_t>(shard.value());
  return index < relays_.size() ? relays_[index] : Owner(shard);
}

std::int64_t LimitTopology::FloorNodes() const {
  return std::max(settings_.min_floor_nodes, std::ssize(last_seen_));
}

std::int64_t LimitTopology::FloorConcurrency(const ContractId& contract,
                                             std::int64_t limit) const {
  const std::int64_t nodes = FloorNodes();
  const std::int64_t remainder = limit % nodes;
  const auto own = RendezvousScore(contract.value(), self_);
  const auto nodes_before = std::count_if(
      last_seen_.begin(), last_seen_.end(), [&](const auto& entry) {
        return RendezvousScore(contract.value(), entry.first) > own;
      });
  return limit / nodes + (nodes_before < remainder ? 1 : 0);
}

}  // namespace gcw
