#include "coordination/membership/membership.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace gcw {
namespace {

Duration RandomDurationBelow(const Random& random, Duration limit) {
  return Duration::Millis(static_cast<std::int64_t>(
      DrawBelow(random, static_cast<std::uint64_t>(limit.millis()))));
}

}  // namespace

Membership::Membership(
    MembershipSettings settings,
    NodeRecord self,
    std::vector<NodeRecord> seeds,
    std::function<std::optional<NodeRecord>(std::string_view)> decode,
    Random random,
    EventSink sink)
    : settings_(settings),
      self_(self.id),
      seeds_(std::move(seeds)),
      decode_(std::move(decode)),
      random_(std::move(random)),
      sink_(std::move(sink)),
      backoff_(settings.backoff) {
  OwnMember().version.incarnation = self.incarnation;
  OwnMember().record = std::move(self);
}

const Member& Membership::self() const {
  return *view_.Find(self_);
}

std::vector<MembershipAction> Membership::Tick(Time now) {
  if (!last_tick_) {
    Start(now);
  }
  AdjustForPause(now);
  last_tick_ = now;
  CheckProbe(now);
  if (now >= next_period_) {
    BeginPeriod(now);
  }
  ExpireSuspects(now);
  Reconnect(now);
  ReadNodes(now);
  return TakeActions();
}

void Membership::Start(Time now) {
  OwnMember().since = now;
  // Random phases prevent nodes that started together from acting in step.
  next_period_ = now + RandomDurationBelow(random_, settings_.period);
  next_reconnect_ =
      now + RandomDurationBelow(random_, settings_.reconnect_interval);
  for (const NodeRecord& seed : seeds_) {
    if (seed.id != self_) {
      ApplyAliveRumor(now,
                      {.node = seed.id,
                       .version = {},
                       .state = MemberState::kAlive,
                       .record = seed},
                      /*forward=*/false);
    }
  }
  UpdateScale();
  AnnounceSelf();
}

// A node that was paused finds its probe unanswered and the time of its
// suspects expired, although the others did answer. Without this adjustment it
// would report healthy members as dead to the whole fleet.
void Membership::AdjustForPause(Time now) {
  if (!last_tick_ || now - *last_tick_ <= settings_.pause_threshold) {
    return;
  }
  const Duration gap = now - *last_tick_;
  last_tick_ = now;
  probe_.reset();
  relays_.clear();
  for (auto& [node, deadline] : suspicion_deadlines_) {
    deadline = deadline + gap;
  }
}

void Membership::BeginPeriod(Time now) {
  next_period_ = next_period_ + settings_.period;
  if (next_period_ <= now) {
    // Missed periods are skipped: otherwise a probe would have no time to be
    // answered before the next one.
    next_period_ = now + settings_.period;
  }
  urgent_budget_ = settings_.max_urgent_per_period;
  if (probe_) {
    const Member* target = view_.Find(probe_->target);
    if (target != nullptr) {
      ApplyFailureRumor(now, {.node = probe_->target,
                              .version = target->version,
                              .state = MemberState::kSuspect,
                              .record = {}});
      own_suspects_.insert(probe_->target);
    }
    probe_.reset();
  }
  PingOwnSuspects();
  UpdateScale();
  ForgetDead(now);
  ExpireRelays(now);
  StartProbe(now);
}

// Pings the members that this node suspects until they answer. A member can
// refute a suspicion only after it has received it, and rumors alone may reach
// it too late.
void Membership::PingOwnSuspects() {
  std::erase_if(own_suspects_, [&](const NodeId& node) {
    return !view_.HasState(node, MemberState::kSuspect);
  });
  for (const NodeId& node : own_suspects_) {
    SendPing(node);
  }
}

void Membership::StartProbe(Time now) {
  const std::optional<NodeId> target = NextTarget();
  if (!target) {
    return;
  }
  SendPing(*target);
  probe_ = Probe{*target, last_probe_, now, false};
}

// Returns each member once in a random order before any is repeated, so that a
// failed member is probed by some node within a bounded time, which independent
// random choices would not ensure.
std::optional<NodeId> Membership::NextTarget() {
  for (int attempt = 0; attempt < 2; ++attempt) {
    while (!probe_round_.empty()) {
      const NodeId target = probe_round_.back();
      probe_round_.pop_back();
      const Member* member = view_.Find(target);
      if (member != nullptr && member->state != MemberState::kDead) {
        return target;
      }
    }
    probe_round_ = view_.Reachable();
    std::erase(probe_round_, self_);
    Shuffle(probe_round_);
  }
  return std::nullopt;
}

void Membership::Shuffle(std::vector<NodeId>& nodes) {
  for (std::size_t i = nodes.size(); i > 1; --i) {
    std::swap(nodes[i - 1], nodes[DrawBelow(random_, i)]);
  }
}

void Membership::CheckProbe(Time now) {
  if (!probe_ || probe_->indirect ||
      now - probe_->sent < settings_.probe_timeout) {
    return;
  }
  probe_->indirect = true;
  const MemberVersion version = self().version;
  for (const NodeId& helper :
       RandomPeers(settings_.indirect_probes, probe_->target)) {
    Send(helper, PingRequest{probe_->id, probe_->target, version,
                             RumorsFor(helper, MemberVersion::Highest())});
  }
}

void Membership::ExpireSuspects(Time now) {
  std::vector<NodeId> expired;
  for (const auto& [node, deadline] : suspicion_deadlines_) {
    if (now >= deadline) {
      expired.push_back(node);
    }
  }
  for (const NodeId& node : expired) {
    suspicion_deadlines_.erase(node);
    const Member* member = view_.Find(node);
    if (member != nullptr && member->state == MemberState::kSuspect) {
      ApplyFailureRumor(now, {.node = node,
                              .version = member->version,
                              .state = MemberState::kDead,
                              .record = {}});
    }
  }
}

void Membership::ExpireRelays(Time now) {
  std::erase_if(relays_, [&](const auto& relay) {
    return now - relay.second.sent >= settings_.period;
  });
}

// Dead members are not probed in the normal round, so that without this the
// halves of a healed partition would never find each other again.
void Membership::Reconnect(Time now) {
  if (now < next_reconnect_) {
    return;
  }
  next_reconnect_ = now + settings_.reconnect_interval;
  // In rounds, so that each dead member is tried within a bounded time.
  while (!reconnect_round_.empty() &&
         !view_.HasState(reconnect_round_.back(), MemberState::kDead)) {
    reconnect_round_.pop_back();
  }
  if (reconnect_round_.empty()) {
    for (const auto& [node, member] : view_.members()) {
      if (member.state == MemberState::kDead) {
        reconnect_round_.push_back(node);
      }
    }
    Shuffle(reconnect_round_);
  }
  if (!reconnect_round_.empty()) {
    const NodeId target = reconnect_round_.back();
    reconnect_round_.pop_back();
    SendPing(target);
  }
  if (!has_full_list_) {
    for (const NodeId& peer : RandomPeers(1, self_)) {
      Send(peer, MemberListRequest{self().version});
    }
  }
}

void Membership::ForgetDead(Time now) {
  std::vector<NodeId> forgotten;
  for (const auto& [node, member] : view_.members()) {
    if (member.state == MemberState::kDead &&
        now - member.since >= settings_.dead_retention &&
        !stored_nodes_.contains(node)) {
      forgotten.push_back(node);
    }
  }
  for (const NodeId& node : forgotten) {
    view_.Erase(node);
    deltas_.Forget(node);
    ++view_version_;
  }
}

void Membership::UpdateScale() {
  live_count_ = view_.Reachable().size();
  const double doublings = std::log2(static_cast<double>(live_count_) + 1);
  rumors_.SetTransmissions(
      static_cast<int>(std::ceil(settings_.transmission_factor * doublings)));
}

Duration Membership::SuspicionTimeout() const {
  const double periods = settings_.suspicion_factor *
                         std::log2(static_cast<double>(live_count_) + 1);
  const auto millis = static_cast<std::int64_t>(
      periods * static_cast<double>(settings_.period.millis()));
  return std::max(settings_.min_suspicion, Duration::Millis(millis));
}

void Membership::SetIncarnation(Time, Incarnation incarnation) {
  Member& own = OwnMember();
  if (incarnation <= own.version.incarnation) {
    return;
  }
  own.version = {incarnation, 0};
  AnnounceSelf();
}

std::vector<MembershipAction> Membership::Leave(Time now) {
  Member& own = OwnMember();
  if (own.record.leaving) {
    return {};
  }
  own.record.leaving = true;
  ++own.version.refutation;
  SetState(now, own, MemberState::kLeaving);
  AnnounceSelf();
  urgent_budget_ = std::max(urgent_budget_, settings_.urgent_fanout);
  SendUrgent(MakeRumor(own));
  return TakeActions();
}

void Membership::Broadcast(const Delta& delta) {
  const DeltaRumor rumor{.origin = self_,
                         .origin_version = self().version,
                         .sequence = ++last_sequence_,
                         .delta = delta};
  deltas_.RecordIfNew(rumor);
  rumors_.Add(rumor);
  if (IsUrgent(delta)) {
    SendUrgent(rumor);
  }
}

std::vector<MembershipAction> Membership::TakeActions() {
  return std::exchange(actions_, {});
}

Membership::Builder& Membership::Builder::SetSettings(
    MembershipSettings settings) {
  settings_ = settings;
  return *this;
}

Membership::Builder& Membership::Builder::SetSelf(NodeRecord self) {
  self_ = std::move(self);
  return *this;
}

Membership::Builder& Membership::Builder::SetSeeds(
    std::vector<NodeRecord> seeds) {
  seeds_ = std::move(seeds);
  return *this;
}

Membership::Builder& Membership::Builder::SetDecode(
    std::function<std::optional<NodeRecord>(std::string_view)> decode) {
  decode_ = std::move(decode);
  return *this;
}

Membership::Builder& Membership::Builder::SetRandom(Random random) {
  random_ = std::move(random);
  return *this;
}

Membership::Builder& Membership::Builder::SetEventSink(EventSink sink) {
  sink_ = std::move(sink);
  return *this;
}

Membership Membership::Builder::Build() const {
  return Membership(settings_, self_, seeds_, decode_, random_, sink_);
}

}  // namespace gcw
