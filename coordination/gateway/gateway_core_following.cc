// Following: one node of a data centre watches the key-value service for many
// others.

#include <algorithm>
#include <string_view>
#include <utility>

#include "coordination/gateway/gateway_core.h"
#include "coordination/rendezvous.h"

namespace gcw {
namespace {

constexpr std::string_view kWatcherOrderKey = "followed";

}  // namespace

void GatewayCore::UpdateFollowing(Time now) {
  if (is_controller(now)) {
    // The controller acts on each change at once, so it watches the service
    // itself.
    followed_node_ = NodeId();
    next_follow_review_ = now;
  } else if (now >= next_follow_review_) {
    next_follow_review_ = now + settings_.follow_review_interval;
    followed_node_ = ChooseFollowed(now);
    if (!followed_node_.empty()) {
      followed_address_ = view_.nodes().at(followed_node_).peer_address;
    }
    mirror_.SetWatcherCount(CountWatchers());
    UpdateRelaxation(now);
  }
  mirror_.SetFollowing(!followed_node_.empty());
}

void GatewayCore::UpdateRelaxation(Time now) {
  if (!mirror_.loaded()) {
    return;
  }
  if (!loaded_at_) {
    loaded_at_ = now;
  }
  const bool relaxed = now - *loaded_at_ >= settings_.relax_delay &&
                       RoleRank(RoleName(std::string(kControllerRole))) >=
                           settings_.role_candidates;
  // A node that follows none keeps its copy strict, because other nodes may
  // follow it. Its lease does not depend on that: who follows whom may change
  // at each review, and each change of the lease takes two calls.
  mirror_.SetRelaxed(relaxed && !followed_node_.empty());
  if (mirror_.reachable()) {
    lease_.SetRelaxed(relaxed);
  }
}

NodeId GatewayCore::ChooseFollowed(Time now) {
  std::erase_if(cooldown_until_,
                [&](const auto& entry) { return now >= entry.second; });
  std::vector<NodeId> zone_nodes = {settings_.self.id};
  for (const auto& [id, node] : view_.nodes()) {
    if (id != settings_.self.id && node.zone == settings_.self.zone &&
        !node.leaving && !cooldown_until_.contains(id)) {
      zone_nodes.push_back(id);
    }
  }
  // All nodes that see the same fleet choose the same watchers without
  // communicating. Each watcher answers many nodes, so nodes of larger weight
  // come first.
  std::vector<NodeId> watchers =
      RendezvousOrder(kWatcherOrderKey, zone_nodes, zone_nodes.size());
  std::stable_sort(watchers.begin(), watchers.end(),
                   [this](const NodeId& a, const NodeId& b) {
                     return WeightOf(a) > WeightOf(b);
                   });
  watchers.resize(WatcherCountFor(zone_nodes.size()));
  if (std::find(watchers.begin(), watchers.end(), settings_.self.id) !=
      watchers.end()) {
    return NodeId();
  }
  return RendezvousOrder(settings_.self.id.value(), watchers, 1).front();
}

std::int64_t GatewayCore::WeightOf(const NodeId& node) const {
  return node == settings_.self.id ? settings_.self.weight
                                   : view_.nodes().at(node).weight;
}

std::size_t GatewayCore::CountWatchers() const {
  std::map<ZoneId, std::size_t> nodes;
  for (const auto& [id, node] : view_.nodes()) {
    nodes[node.zone] += node.leaving ? 0 : 1;
  }
  // The controller watches too.
  std::size_t watchers = 1;
  for (const auto& [zone, count] : nodes) {
    watchers += WatcherCountFor(count);
  }
  return watchers;
}

std::size_t GatewayCore::WatcherCountFor(std::size_t nodes) const {
  if (nodes < static_cast<std::size_t>(settings_.mirror.min_nodes_to_follow)) {
    return nodes;
  }
  const auto nodes_per_watcher =
      static_cast<std::size_t>(settings_.mirror.followers_per_watcher) + 1;
  return (nodes + nodes_per_watcher - 1) / nodes_per_watcher;
}

GatewayActions GatewayCore::OnChangesRequest(Time now,
                                             const ChangesRequest& request) {
  Apply(mirror_.OnChangesRequest(now, request));
  return TakeActions();
}

GatewayActions GatewayCore::OnChangesReply(
    Time now,
    StoreCallId id,
    const std::optional<MirrorChanges>& changes) {
  if (mirror_.IsFollowRequest(id) && !mirror_.IsUsable(changes) &&
      !followed_node_.empty()) {
    cooldown_until_[followed_node_] = now + settings_.mirror.follow_cooldown;
    next_follow_review_ = now;
  }
  Apply(mirror_.OnPeerChanges(now, id, changes));
  UpdateReplicas(now);
  RunController(now);
  return TakeRequestActions(now);
}

void GatewayCore::Apply(const RequestPeerChanges& request) {
  const std::optional<Address> address = request.peer == PeerTarget::kFollowed
                                             ? followed_address_
                                             : PickRandomNode();
  if (address) {
    actions_.emplace_back(RequestNodeChanges{request.id, *address,
                                             request.after, request.wait,
                                             settings_.mirror.follow_timeout});
  }
}

void GatewayCore::Apply(ChangesReply answer) {
  actions_.emplace_back(std::move(answer));
}

}  // namespace gcw
