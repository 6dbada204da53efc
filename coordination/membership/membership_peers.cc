// Messages between members: probes, acknowledgements, urgent rumors and lists.

#include <algorithm>
#include <utility>

#include "coordination/membership/membership.h"

namespace gcw {

std::vector<MembershipAction> Membership::OnPeer(
    Time now,
    const NodeId& from,
    const MembershipMessage& message) {
  // After a pause, messages that arrived meanwhile are handled before the next
  // tick.
  AdjustForPause(now);
  std::visit([&](const auto& typed) { OnMessage(now, from, typed); }, message);
  return TakeActions();
}

void Membership::OnMessage(Time now, const NodeId& from, const Ping& ping) {
  ApplyRumors(now, from, ping.rumors);
  Send(from, PingAck{ping.probe, self_, self().version,
                     RumorsFor(from, ping.version)});
  if (view_.Find(from) == nullptr) {
    // The sender's announcement was lost.
    Send(from, MemberListRequest{self().version});
  }
}

void Membership::OnMessage(Time now,
                           const NodeId& from,
                           const PingRequest& request) {
  ApplyRumors(now, from, request.rumors);
  if (request.target == self_) {
    Send(from, PingAck{request.probe, self_, self().version,
                       RumorsFor(from, request.version)});
    return;
  }
  SendPing(request.target);
  relays_[last_probe_] = {from, request.probe, now};
}

void Membership::OnMessage(Time now, const NodeId& from, const PingAck& ack) {
  ApplyRumors(now, from, ack.rumors);
  if (probe_ && probe_->id == ack.probe && probe_->target == ack.target) {
    probe_.reset();
    return;
  }
  const auto relay = relays_.find(ack.probe);
  if (relay == relays_.end()) {
    return;
  }
  Send(relay->second.requester,
       PingAck{relay->second.requester_probe, ack.target, self().version, {}});
  relays_.erase(relay);
}

void Membership::OnMessage(Time now,
                           const NodeId& from,
                           const UrgentRumors& urgent) {
  ApplyRumors(now, from, urgent.rumors);
}

void Membership::OnMessage(Time, const NodeId& from, const MemberListRequest&) {
  MemberList list{self().version, {}};
  for (const auto& [node, member] : view_.members()) {
    if (member.state != MemberState::kDead) {
      list.members.push_back(MakeRumor(member));
    }
  }
  Send(from, std::move(list));
}

void Membership::OnMessage(Time now,
                           const NodeId& from,
                           const MemberList& list) {
  has_full_list_ = true;
  for (const MemberRumor& rumor : list.members) {
    if (rumor.node == self_) {
      ApplySelfRumor(from, rumor);
    } else if (rumor.state == MemberState::kAlive) {
      ApplyAliveRumor(now, rumor, /*forward=*/false);
    }
  }
}

void Membership::Send(const NodeId& to, MembershipMessage message) {
  actions_.emplace_back(PeerSend<MembershipMessage>{to, std::move(message)});
}

void Membership::SendPing(const NodeId& to) {
  ++last_probe_;
  Send(to, Ping{last_probe_, self().version,
                RumorsFor(to, MemberVersion::Highest())});
}

void Membership::SendUrgent(const Rumor& rumor) {
  // Bounded, so that many nodes leaving at once do not cause a message storm.
  // The rumor is still piggybacked on probes.
  const std::size_t count = std::min(settings_.urgent_fanout, urgent_budget_);
  for (const NodeId& peer : RandomPeers(count, self_)) {
    --urgent_budget_;
    Send(peer, UrgentRumors{self().version, {rumor}});
  }
}

// Returns the rumors to send to a node: first the rumor about that node, if it
// must react to it, then the ones that are due. A member that is wrongly
// believed to have failed, that restarted without knowing its incarnation, or
// whose last announcement did not arrive here can correct only what it
// receives.
std::vector<Rumor> Membership::RumorsFor(const NodeId& to,
                                         const MemberVersion& version) {
  std::vector<Rumor> rumors;
  std::size_t bytes = settings_.rumor_bytes;
  const Member* member = view_.Find(to);
  const bool differs = member != nullptr &&
                       version != MemberVersion::Highest() &&
                       version != member->version;
  if (member != nullptr && (differs || member->state == MemberState::kSuspect ||
                            member->state == MemberState::kDead)) {
    rumors.emplace_back(MakeRumor(*member));
    bytes -= std::min(bytes, EstimatedSize(rumors.back()));
  }
  for (Rumor& rumor : rumors_.Take(bytes)) {
    rumors.push_back(std::move(rumor));
  }
  return rumors;
}

std::vector<NodeId> Membership::RandomPeers(std::size_t count,
                                            const NodeId& except) {
  std::vector<NodeId> peers = view_.Reachable();
  std::erase(peers, self_);
  std::erase(peers, except);
  count = std::min(count, peers.size());
  for (std::size_t i = 0; i < count; ++i) {
    std::swap(peers[i], peers[i + DrawBelow(random_, peers.size() - i)]);
  }
  peers.resize(count);
  return peers;
}

}  // namespace gcw
