// Following: one node of a data centre watches the key-value service for many
// others.

#include <algorithm>
#include <string_view>
#include <utility>

#include "coordination/gateway/gateway_core.h"
#include "coordination/rendezvous.h"

namespace gcw {
namespace {

constexpr std::string_view kFollowedKey = "followed";

}  // namespace

void GatewayCore::UpdateFollowing(Time now) {
  if (is_keeper(now)) {
    // The keeper acts on each change at once, so it watches the service itself.
    followed_ = NodeId();
    next_follow_review_ = now;
  } else if (now >= next_follow_review_) {
    next_follow_review_ = now + settings_.follow_review;
    followed_ = ChooseFollowed(now);
    if (!followed_.empty()) {
      followed_address_ = view_.nodes().at(followed_).peer_address;
    }
    mirror_.SetWatcherCount(CountWatchers());
    UpdateRelaxation(now);
  }
  mirror_.SetFollowing(!followed_.empty());
}

void GatewayCore::UpdateRelaxation(Time now) {
  if (!mirror_.loaded()) {
    return;
  }
  if (!loaded_at_) {
    loaded_at_ = now;
  }
  const bool relaxed =
      now - *loaded_at_ >= settings_.relax_after &&
      RankFor(RoleName(std::string(kKeeperRole))) >= settings_.role_candidates;
  // The copy of a followed node is not relaxed, because other nodes depend on
  // it. The lease does not depend on this: which node is followed may change at
  // each review, and each change of the lease takes two calls.
  mirror_.SetRelaxed(relaxed && !followed_.empty());
  if (mirror_.reachable()) {
    lease_.SetRelaxed(relaxed);
  }
}

NodeId GatewayCore::ChooseFollowed(Time now) {
  std::erase_if(avoided_, [&](const auto& each) { return now >= each.second; });
  std::vector<NodeId> near = {settings_.self.id};
  for (const auto& [id, node] : view_.nodes()) {
    if (id != settings_.self.id && node.zone == settings_.self.zone &&
        !node.leaving && !avoided_.contains(id)) {
      near.push_back(id);
    }
  }
  // All nodes that see the same fleet choose the same watchers without
  // communicating. Each watcher answers many nodes, so nodes of larger weight
  // come first.
  std::vector<NodeId> followed =
      RendezvousOrder(kFollowedKey, near, near.size());
  std::stable_sort(followed.begin(), followed.end(),
                   [this](const NodeId& a, const NodeId& b) {
                     return WeightOf(a) > WeightOf(b);
                   });
  followed.resize(WatchersOf(near.size()));
  if (std::find(followed.begin(), followed.end(), settings_.self.id) !=
      followed.end()) {
    return NodeId();
  }
  return RendezvousOrder(settings_.self.id.value(), followed, 1).front();
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
  // The keeper watches too.
  std::size_t watchers = 1;
  for (const auto& [zone, count] : nodes) {
    watchers += WatchersOf(count);
  }
  return watchers;
}

std::size_t GatewayCore::WatchersOf(std::size_t nodes) const {
  if (nodes < static_cast<std::size_t>(settings_.mirror.follow_from)) {
    return nodes;
  }
  const auto served_by_one =
      static_cast<std::size_t>(settings_.mirror.followers) + 1;
  return (nodes + served_by_one - 1) / served_by_one;
}

GatewayActions GatewayCore::OnChangesAsked(Time now,
                                           const ChangeQuestion& question) {
  Apply(mirror_.OnChangesAsked(now, question));
  return TakeActions();
}

GatewayActions GatewayCore::OnChangesHeard(
    Time now,
    StoreCallId id,
    const std::optional<MirrorChanges>& changes) {
  if (mirror_.IsFollowingBy(id) && !mirror_.IsUsable(changes) &&
      !followed_.empty()) {
    avoided_[followed_] = now + settings_.mirror.follow_avoid;
    next_follow_review_ = now;
  }
  Apply(mirror_.OnPeerChanges(now, id, changes));
  UpdateReplicas(now);
  RunKeeper(now);
  return TakeActions();
}

void GatewayCore::Apply(const AskPeerChanges& ask) {
  const std::optional<Address> address =
      ask.peer == AskedPeer::kFollowed ? followed_address_ : DrawOtherNode();
  if (address) {
    actions_.emplace_back(AskNodeChanges{ask.id, *address, ask.after, ask.wait,
                                         settings_.mirror.follow_timeout});
  }
}

void GatewayCore::Apply(AnswerChanges answer) {
  actions_.emplace_back(std::move(answer));
}

}  // namespace gcw
