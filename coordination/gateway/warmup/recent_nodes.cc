#include "coordination/gateway/warmup/recent_nodes.h"

#include <utility>

#include "coordination/rendezvous.h"

namespace gcw {

void RecentNodes::Update(Time now,
                         NodeId self,
                         const std::set<NodeId>& listed) {
  self_ = std::move(self);
  for (const NodeId& id : listed) {
    const auto [it, is_new] = nodes_.try_emplace(id, Node{now, Time()});
    if (it->second.left != Time()) {
      it->second = {now, Time()};
    }
    changes_ += is_new ? 1 : 0;
  }
  for (auto& [id, node] : nodes_) {
    if (node.left == Time() && !listed.contains(id)) {
      node.left = now;
    }
  }
}

void RecentNodes::Tick(Time now) {
  const std::size_t forgotten = std::erase_if(nodes_, [&](const auto& entry) {
    return entry.second.left != Time() && now - entry.second.left >= memory_;
  });
  changes_ += forgotten;
}

bool RecentNodes::IsEstablished(Time now) const {
  const auto found = nodes_.find(self_);
  return found != nodes_.end() && found->second.left == Time() &&
         now - found->second.listed_since >= memory_;
}

bool RecentNodes::IsAmongFirst(std::string_view key, std::size_t count) const {
  if (nodes_.size() <= count) {
    return nodes_.contains(self_);
  }
  const std::uint64_t own_score = RendezvousScore(key, self_);
  std::size_t preferred = 0;
  for (const auto& [id, node] : nodes_) {
    if (id != self_ && RendezvousScore(key, id) >= own_score &&
        ++preferred >= count) {
      return false;
    }
  }
  return true;
}

}  // namespace gcw
