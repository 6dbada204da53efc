// Rumors about members, and how they change the view.

#include <algorithm>
#include <utility>

#include "coordination/membership/membership.h"

namespace gcw {
namespace {

std::optional<EventKind> EventKindFor(MemberState state) {
  switch (state) {
    case MemberState::kAlive:
      return EventKind::kPeerAlive;
    case MemberState::kSuspect:
      return EventKind::kPeerSuspected;
    case MemberState::kDead:
      return EventKind::kPeerDead;
    case MemberState::kLeaving:
      return std::nullopt;
  }
  return std::nullopt;
}

MemberState HealthyState(const NodeRecord& record) {
  return record.leaving ? MemberState::kLeaving : MemberState::kAlive;
}

}  // namespace

void Membership::ApplyRumors(Time now,
                             const NodeId& from,
                             const std::vector<Rumor>& rumors) {
  for (const Rumor& rumor : rumors) {
    std::visit([&](const auto& typed) { ApplyRumor(now, from, typed); }, rumor);
  }
}

void Membership::ApplyRumor(Time now,
                            const NodeId& from,
                            const MemberRumor& rumor) {
  if (rumor.node == self_) {
    ApplySelfRumor(from, rumor);
  } else if (rumor.state == MemberState::kAlive) {
    ApplyAliveRumor(now, rumor, /*forward=*/true);
  } else {
    ApplyFailureRumor(now, rumor);
  }
}

void Membership::ApplyRumor(Time, const NodeId&, const DeltaRumor& rumor) {
  if (rumor.origin == self_ || !deltas_.RecordIfNew(rumor)) {
    return;
  }
  rumors_.Add(rumor);
  if (IsUrgent(rumor.delta)) {
    SendUrgent(rumor);
  }
  actions_.emplace_back(DeltaReceived{rumor.origin, rumor.delta});
}

void Membership::ApplySelfRumor(const NodeId& from, const MemberRumor& rumor) {
  Member& own = OwnMember();
  const bool is_current = rumor.version == own.version &&
                          rumor.state == MemberState::kAlive &&
                          rumor.record == own.record;
  if (is_current) {
    return;
  }
  if (rumor.version >= own.version) {
    own.version = rumor.version;
    ++own.version.refutation;
    AnnounceSelf();
  }
  // The sender of the outdated rumor gets the refutation at once, even if it
  // was given before, and spreads it among the nodes that it reaches, which may
  // be a part of the fleet that does not probe this node.
  if (urgent_budget_ > 0) {
    --urgent_budget_;
    Send(from, UrgentRumors{own.version, {MakeRumor(own)}});
  }
}

void Membership::ApplyAliveRumor(Time now,
                                 const MemberRumor& rumor,
                                 bool forward) {
  if (!rumor.record) {
    return;
  }
  const Member* known = view_.Find(rumor.node);
  if (known != nullptr && rumor.version <= known->version) {
    return;
  }
  const bool is_new = known == nullptr;
  Member& member = view_.Upsert(rumor.node);
  const bool starts_leaving =
      rumor.record->leaving && !member.record.leaving && !is_new;
  member.record = *rumor.record;
  member.version = rumor.version;
  ++view_version_;
  suspicion_deadlines_.erase(rumor.node);
  const MemberState state = HealthyState(member.record);
  if (is_new || member.state != state) {
    SetState(now, member, state);
  }
  if (forward) {
    rumors_.Add(rumor);
  }
  if (starts_leaving) {
    SendUrgent(rumor);
  }
}

void Membership::ApplyFailureRumor(Time now, const MemberRumor& rumor) {
  const Member* known = view_.Find(rumor.node);
  if (known == nullptr || rumor.version < known->version ||
      known->state == MemberState::kDead) {
    return;
  }
  if (rumor.state == MemberState::kSuspect &&
      known->state == MemberState::kSuspect &&
      rumor.version == known->version) {
    return;
  }
  Member& member = view_.Upsert(rumor.node);
  member.version = rumor.version;
  if (rumor.state == MemberState::kSuspect) {
    suspicion_deadlines_[rumor.node] = now + SuspicionTimeout();
  } else {
    suspicion_deadlines_.erase(rumor.node);
  }
  if (member.state != rumor.state) {
    SetState(now, member, rumor.state);
  }
  rumors_.Add(rumor);
}

void Membership::SetState(Time now, Member& member, MemberState state) {
  member.state = state;
  member.since = now;
  ++view_version_;
  actions_.emplace_back(MemberChanged{member.record.id, state});
  if (const auto kind = EventKindFor(state)) {
    sink_({.kind = *kind,
           .subject = member.record.id.value(),
           .cause = {},
           .fields = {{"incarnation", member.version.incarnation.value()},
                      {"refutation", member.version.refutation}}});
  }
}

MemberRumor Membership::MakeRumor(const Member& member) const {
  const bool failing = member.state == MemberState::kSuspect ||
                       member.state == MemberState::kDead;
  return {.node = member.record.id,
          .version = member.version,
          .state = failing ? member.state : MemberState::kAlive,
          .record = failing ? std::nullopt
                            : std::optional<NodeRecord>(member.record)};
}

void Membership::AnnounceSelf() {
  ++view_version_;
  rumors_.Add(MakeRumor(self()));
}

std::vector<MembershipAction>
Membership::OnStoreReply(Time now, StoreCallId id, const StoreReply& reply) {
  if (pending_read_ != id) {
    return {};
  }
  pending_read_.reset();
  if (const auto* range = std::get_if<StoreRangeReply>(&reply)) {
    OnNodeList(now, *range);
  } else if (!has_full_list_) {
    next_read_ = now + backoff_.Next(random_);
  }
  return TakeActions();
}

void Membership::ReadNodes(Time now) {
  if (pending_read_ && now - read_sent_ >= settings_.call_timeout) {
    pending_read_.reset();
    if (!has_full_list_) {
      next_read_ = now + backoff_.Next(random_);
    }
  }
  if (pending_read_ || now < next_read_) {
    return;
  }
  const Duration interval = std::max(
      settings_.min_read_interval, settings_.read_interval_per_node *
                                       static_cast<std::int64_t>(live_count_));
  next_read_ = now + interval / 2 +
               Duration::Millis(static_cast<std::int64_t>(DrawBelow(
                   random_, static_cast<std::uint64_t>(interval.millis()))));
  pending_read_ = ++last_call_id_;
  read_sent_ = now;
  actions_.emplace_back(StoreRequest{last_call_id_, StoreRange{"node/"}});
}

void Membership::OnNodeList(Time now, const StoreRangeReply& reply) {
  bool is_own_run_listed = false;
  stored_nodes_.clear();
  for (const StoreEntry& entry : reply.entries) {
    const std::optional<NodeRecord> record = decode_(entry.value);
    if (!record) {
      continue;
    }
    stored_nodes_.insert(record->id);
    if (record->id == self_) {
      is_own_run_listed = IsOwnRun(*record);
      continue;
    }
    // The version with which the node announces itself. With a lower one, each
    // node of a fleet that starts would forward its announcement to all others.
    const Incarnation incarnation = record->incarnation == Incarnation()
                                        ? Incarnation(entry.revision.value())
                                        : record->incarnation;
    ApplyAliveRumor(now,
                    {.node = record->id,
                     .version = {incarnation, 0},
                     .state = MemberState::kAlive,
                     .record = record},
                    /*forward=*/false);
  }
  if (!is_own_run_listed) {
    // Nodes that start together could each read the list before any of them is
    // in it, stay alone until the next read and take over what the others own.
    // Therefore a list counts only if it includes this run: of two nodes, at
    // least the one that was written last then sees the other.
    next_read_ = std::min(next_read_, now + backoff_.Next(random_));
    return;
  }
  has_full_list_ = true;
  backoff_.Reset();
}

bool Membership::IsOwnRun(const NodeRecord& record) const {
  const NodeRecord& own = self().record;
  return record.incarnation == own.incarnation &&
         record.peer_address == own.peer_address;
}

}  // namespace gcw
