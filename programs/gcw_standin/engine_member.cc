#include "programs/gcw_standin/engine_member.h"

#include <algorithm>
#include <utility>

namespace gcw {
namespace {

bool IsReadyOrDraining(EngineState state) {
  return state == EngineState::kReady || state == EngineState::kDraining;
}

std::optional<std::int64_t> RankOf(const VmId& vm,
                                   const std::vector<GroupMember>& members) {
  const auto found =
      std::find_if(members.begin(), members.end(),
                   [&](const GroupMember& member) { return member.vm == vm; });
  if (found == members.end()) {
    return std::nullopt;
  }
  return found - members.begin();
}

}  // namespace

EngineMember::EngineMember(Settings settings) : settings_(std::move(settings)) {
  status_.vm = settings_.vm;
  status_.incarnation = settings_.incarnation;
}

OrderOutcome EngineMember::OnOrder(Time now,
                                   const EngineOrder& order,
                                   bool ignore_fence) {
  if (!ignore_fence && order.fence < status_.fence) {
    return {EngineOrderStale{.seen = status_.fence}, {}};
  }
  if (!status_.group.empty() && status_.group != order.group) {
    return {EngineOrderBusy{.group = status_.group}, {}};
  }
  status_.fence = std::max(status_.fence, order.fence);
  const bool is_earlier_generation = order.generation < status_.generation;
  if (status_.group == order.group && is_earlier_generation && !ignore_fence) {
    // The order is for an earlier generation of this group, so there is nothing
    // to do.
    return {EngineOrderAccepted{}, {}};
  }
  switch (order.kind) {
    case EngineOrderKind::kLoad:
      return Load(now, order);
    case EngineOrderKind::kLeave:
      return Leave();
    case EngineOrderKind::kDrain:
      return Drain();
  }
  return {EngineOrderAccepted{}, {}};
}

OrderOutcome EngineMember::Load(Time now, const EngineOrder& order) {
  const bool is_repeated = status_.group == order.group &&
                           status_.generation == order.generation &&
                           status_.state != EngineState::kFailed;
  if (is_repeated) {
    return {EngineOrderAccepted{}, {}};
  }
  OrderOutcome outcome{EngineOrderAccepted{}, {AbortAnswers{}}};
  Join(order);
  if (status_.state == EngineState::kFailed) {
    return outcome;
  }
  target_shard_ = {order.model, status_.rank, order.members.size()};
  if (shard_ == target_shard_) {
    FinishLoad();
    return outcome;
  }
  shard_.reset();
  if (settings_.uses_weight_store) {
    outcome.actions.emplace_back(FetchWeights{order.generation});
  } else {
    load_done_at_ = now + settings_.load_time;
  }
  return outcome;
}

OrderOutcome EngineMember::Leave() {
  status_.group = GroupId();
  status_.model = ModelId();
  status_.generation = Generation();
  status_.rank = 0;
  status_.state = EngineState::kIdle;
  peers_.clear();
  shard_.reset();
  load_done_at_.reset();
  own_shard_loaded_ = false;
  return {EngineOrderAccepted{}, {AbortAnswers{}}};
}

OrderOutcome EngineMember::Drain() {
  if (status_.state == EngineState::kReady) {
    status_.state = EngineState::kDraining;
  }
  return {EngineOrderAccepted{}, {}};
}

void EngineMember::Join(const EngineOrder& order) {
  status_.group = order.group;
  status_.model = order.model;
  status_.generation = order.generation;
  const std::optional<std::int64_t> rank = RankOf(settings_.vm, order.members);
  status_.rank = rank.value_or(0);
  // A VM that is not among the members cannot join the group.
  status_.state = rank ? EngineState::kLoading : EngineState::kFailed;
  own_shard_loaded_ = false;
  load_done_at_.reset();
  peers_.clear();
  next_poll_ = Time();
  if (rank != 0) {
    return;
  }
  for (const GroupMember& member : order.members) {
    if (member.vm != settings_.vm) {
      Peer peer;
      peer.vm = member.vm;
      peer.address = member.address;
      peers_.push_back(std::move(peer));
    }
  }
}

void EngineMember::OnWeights(Time now, Generation generation) {
  if (status_.state != EngineState::kLoading ||
      status_.generation != generation) {
    return;
  }
  load_done_at_ = now + settings_.load_time;
}

std::vector<MemberAction> EngineMember::OnMemberStatus(
    Time now,
    const EngineStatus& status) {
  const auto peer =
      std::find_if(peers_.begin(), peers_.end(),
                   [&](const Peer& known) { return known.vm == status.vm; });
  if (peer == peers_.end()) {
    return {};
  }
  const bool is_member =
      status.group == status_.group && status.generation == status_.generation;
  const bool has_restarted =
      peer->last_seen && peer->incarnation != status.incarnation;
  if ((!is_member || has_restarted) && IsReadyOrDraining(status_.state)) {
    return Fail();
  }
  if (!is_member) {
    peer->last_seen.reset();
    return {};
  }
  peer->last_seen = now;
  peer->incarnation = status.incarnation;
  peer->loaded = IsReadyOrDraining(status.state);
  return {};
}

std::vector<MemberAction> EngineMember::Tick(Time now) {
  std::vector<MemberAction> actions;
  if (load_done_at_ && *load_done_at_ <= now) {
    FinishLoad();
  }
  if (IsReadyOrDraining(status_.state) && !SeesAllPeers(now)) {
    actions = Fail();
  }
  const bool is_group_ready = status_.state == EngineState::kLoading &&
                              own_shard_loaded_ && SeesAllPeers(now) &&
                              AllPeersLoaded();
  if (is_group_ready) {
    status_.state = EngineState::kReady;
  }
  PollPeers(now, actions);
  return actions;
}

bool EngineMember::IsServing() const {
  return status_.state == EngineState::kReady && status_.rank == 0;
}

EngineStatus EngineMember::Status(Time now) const {
  EngineStatus status = status_;
  if (status.group.empty()) {
    return status;
  }
  status.members_seen.push_back(settings_.vm);
  for (const Peer& peer : peers_) {
    if (IsPresent(now, peer)) {
      status.members_seen.push_back(peer.vm);
    }
  }
  return status;
}

void EngineMember::FinishLoad() {
  load_done_at_.reset();
  own_shard_loaded_ = true;
  shard_ = target_shard_;
}

bool EngineMember::IsPresent(Time now, const Peer& peer) const {
  return peer.last_seen && now - *peer.last_seen < settings_.member_timeout;
}

bool EngineMember::SeesAllPeers(Time now) const {
  return std::all_of(peers_.begin(), peers_.end(),
                     [&](const Peer& peer) { return IsPresent(now, peer); });
}

bool EngineMember::AllPeersLoaded() const {
  return std::all_of(peers_.begin(), peers_.end(),
                     [](const Peer& peer) { return peer.loaded; });
}

std::vector<MemberAction> EngineMember::Fail() {
  status_.state = EngineState::kFailed;
  return {AbortAnswers{}};
}

void EngineMember::PollPeers(Time now, std::vector<MemberAction>& actions) {
  if (peers_.empty() || now < next_poll_) {
    return;
  }
  next_poll_ = now + settings_.poll_interval;
  for (const Peer& peer : peers_) {
    actions.emplace_back(PollMember{peer.vm, peer.address});
  }
}

}  // namespace gcw
