#include "coordination/roles/role_leases.h"

#include <algorithm>
#include <string>
#include <string_view>
#include <utility>

namespace gcw {
namespace {

constexpr std::string_view kRoleKeyPrefix = "role/";

std::string RoleKey(const RoleName& role) {
  return std::string(kRoleKeyPrefix) + role.value();
}

}  // namespace

RoleLeases::RoleLeases(RoleLeasesSettings settings,
                       NodeId self,
                       std::function<std::optional<HeldLease>(Time)> lease,
                       std::function<Revision()> revision_floor,
                       Random random,
                       EventSink sink)
    : settings_(settings),
      self_(std::move(self)),
      lease_(std::move(lease)),
      revision_floor_(std::move(revision_floor)),
      random_(std::move(random)),
      sink_(std::move(sink)),
      backoff_(settings.backoff) {}

std::vector<RoleLeasesAction> RoleLeases::SetDesired(
    Time now,
    std::set<RoleName> desired) {
  desired_ = std::move(desired);
  return Tick(now);
}

void RoleLeases::SetFleet(std::set<RoleName> roles, std::size_t nodes) {
  known_roles_ = std::move(roles);
  node_count_ = std::max<std::size_t>(1, nodes);
}

std::vector<RoleLeasesAction> RoleLeases::Tick(Time now) {
  ExpireCalls(now);
  return NextCalls(now);
}

std::optional<HeldRole> RoleLeases::Held(const RoleName& role, Time now) const {
  const auto it = roles_.find(role);
  if (it == roles_.end() || it->second.phase != Phase::kHeld) {
    return std::nullopt;
  }
  const std::optional<HeldLease> lease = lease_(now);
  if (!lease || lease->lease != it->second.lease) {
    return std::nullopt;
  }
  return HeldRole{FencingToken(it->second.revision.value()),
                  lease->valid_until};
}

std::vector<RoleName> RoleLeases::HeldRoles(Time now) const {
  std::vector<RoleName> held;
  for (const auto& [name, role] : roles_) {
    if (Held(name, now)) {
      held.push_back(name);
    }
  }
  return held;
}

bool RoleLeases::IsWanted(const RoleName& name, Time now) const {
  if (desired_.contains(name)) {
    return true;
  }
  const auto it = takeovers_.find(name);
  return it != takeovers_.end() && now < it->second;
}

std::vector<RoleLeasesAction> RoleLeases::NextCalls(Time now) {
  const std::optional<HeldLease> lease = lease_(now);
  if (!lease) {
    return {};
  }
  DropRolesOfOtherLeases(now, lease->lease);
  for (const RoleName& name : desired_) {
    roles_.try_emplace(name);
  }
  std::vector<RoleLeasesAction> actions;
  if (now < next_call_) {
    return actions;
  }
  for (auto& [name, role] : roles_) {
    if (pending_.size() >= settings_.max_parallel_calls) {
      break;
    }
    if (role.call || now < role.next_attempt) {
      continue;
    }
    // The node stops acting in a role that it no longer wants before the
    // deletion of the key is confirmed.
    if (role.phase == Phase::kHeld && !IsWanted(name, now)) {
      EmitEvent(EventKind::kRoleLost, name, role);
      role.phase = Phase::kReleasing;
    }
    if (role.phase == Phase::kFree && IsWanted(name, now)) {
      role.phase = Phase::kAcquiring;
      role.floor = revision_floor_();
    }
    if (std::optional<StoreCall> call = NextCall(name, role, *lease)) {
      role.call = ++last_id_;
      pending_[last_id_] = {name, now};
      actions.emplace_back(StoreRequest{last_id_, *std::move(call)});
    }
  }
  if (const auto read = NextRead(now)) {
    actions.emplace_back(*read);
  }
  return actions;
}

std::optional<StoreCall> RoleLeases::NextCall(const RoleName& name,
                                              Role& role,
                                              const HeldLease& lease) {
  switch (role.phase) {
    case Phase::kFree:
    case Phase::kHeld:
      return std::nullopt;
    case Phase::kAcquiring:
      // This also repeats a put whose reply was lost. The conflict then shows
      // whether the key is attached to this node's lease and, unlike a plain
      // read, cannot be stale.
      role.lease = lease.lease;
      return StorePut{.key = RoleKey(name),
                      .value = self_.value(),
                      .expected = Revision(),
                      .lease = lease.lease};
    case Phase::kReleasing:
      return StoreDelete{RoleKey(name), role.revision};
  }
  return std::nullopt;
}

void RoleLeases::DropRolesOfOtherLeases(Time now, LeaseId lease) {
  if (lease_seen_ != lease) {
    lease_seen_ = lease;
    lease_floor_ = revision_floor_();
  }
  for (auto it = roles_.begin(); it != roles_.end();) {
    const auto current = it++;
    Role& role = current->second;
    const bool free = role.phase == Phase::kFree;
    if (free && !role.call && !IsWanted(current->first, now)) {
      roles_.erase(current);
      continue;
    }
    if (free || role.lease == lease || role.lease == LeaseId()) {
      continue;
    }
    // Keys attached to an earlier lease are deleted when it lapses, if they are
    // not deleted already.
    if (role.call) {
      pending_.erase(*role.call);
    }
    Drop(current->first, role);
  }
}

std::vector<RoleLeasesAction>
RoleLeases::OnStoreReply(Time now, StoreCallId id, const StoreReply& reply) {
  if (read_call_ == id) {
    read_call_.reset();
    if (const auto* range = std::get_if<StoreRangeReply>(&reply)) {
      OnRead(now, *range);
    }
    return NextCalls(now);
  }
  const auto it = pending_.find(id);
  if (it == pending_.end()) {
    return {};
  }
  const RoleName name = it->second.role;
  pending_.erase(it);
  const auto role = roles_.find(name);
  if (role != roles_.end() && role->second.call == id) {
    role->second.call.reset();
    OnRoleReply(now, name, role->second, reply);
  }
  return NextCalls(now);
}

void RoleLeases::OnRoleReply(Time now,
                             const RoleName& name,
                             Role& role,
                             const StoreReply& reply) {
  if (std::holds_alternative<StoreNoAnswer>(reply) ||
      std::holds_alternative<StoreRefused>(reply)) {
    BackOff(now, reply);
    return;
  }
  backoff_.Reset();
  if (role.phase == Phase::kAcquiring) {
    OnAcquireReply(now, name, role, reply);
  } else if (role.phase == Phase::kReleasing) {
    OnReleaseReply(now, role, reply);
  }
}

void RoleLeases::OnAcquireReply(Time now,
                                const RoleName& name,
                                Role& role,
                                const StoreReply& reply) {
  if (const auto* written = std::get_if<StoreWritten>(&reply)) {
    Acquire(name, role, written->revision, role.floor);
    return;
  }
  const auto* conflict = std::get_if<StoreConflict>(&reply);
  if (conflict && conflict->current && conflict->current->lease == role.lease) {
    // The key was written at some time after the lease was first seen.
    Acquire(name, role, conflict->current->revision, lease_floor_);
    return;
  }
  role.phase = Phase::kFree;
  const Duration wait = settings_.retry_interval;
  role.next_attempt =
      now + wait / 2 +
      Duration::Millis(static_cast<std::int64_t>(
          DrawBelow(random_, static_cast<std::uint64_t>(wait.millis()) + 1)));
}

void RoleLeases::OnReleaseReply(Time now, Role& role, const StoreReply& reply) {
  if (!std::holds_alternative<StoreWritten>(reply) &&
      !std::holds_alternative<StoreConflict>(reply)) {
    BackOff(now, reply);
    return;
  }
  // The role may be taken again only now. If it were taken while the outcome of
  // the deletion is open, the deletion could arrive late and free the key while
  // this node still relies on it, and two nodes would hold the role at once.
  role = Role();
}

void RoleLeases::Acquire(const RoleName& name,
                         Role& role,
                         Revision revision,
                         Revision floor) {
  role.revision = revision;
  if (revision <= floor) {
    // The service was restored to an older state: this token is lower than ones
    // that endpoints and nodes have seen, and an earlier holder may still be
    // active.
    sink_(
        {.kind = EventKind::kStoreRolledBack,
         .subject = name.value(),
         .cause = {},
         .fields = {{"revision", revision.value()}, {"known", floor.value()}}});
    role.phase = Phase::kReleasing;
    return;
  }
  role.phase = Phase::kHeld;
  EmitEvent(EventKind::kRoleAcquired, name, role);
}

void RoleLeases::Drop(const RoleName& name, Role& role) {
  if (role.phase == Phase::kHeld) {
    EmitEvent(EventKind::kRoleLost, name, role);
  }
  role = Role();
}

void RoleLeases::BackOff(Time now, const StoreReply& reply) {
  Duration wait = backoff_.Next(random_);
  if (const auto* refused = std::get_if<StoreRefused>(&reply)) {
    wait = std::max(wait, refused->retry_after);
  }
  next_call_ = std::max(next_call_, now + wait);
}

void RoleLeases::ExpireCalls(Time now) {
  for (auto it = pending_.begin(); it != pending_.end();) {
    const auto current = it++;
    if (now - current->second.sent < settings_.call_timeout) {
      continue;
    }
    const auto role = roles_.find(current->second.role);
    if (role != roles_.end() && role->second.call == current->first) {
      role->second.call.reset();
    }
    pending_.erase(current);
    BackOff(now, StoreNoAnswer{});
  }
  if (read_call_ && now - read_sent_ >= settings_.call_timeout) {
    read_call_.reset();
  }
}

void RoleLeases::EmitEvent(EventKind kind,
                           const RoleName& name,
                           const Role& role) {
  sink_({.kind = kind,
         .subject = name.value(),
         .cause = {},
         .fields = {{"fence", role.revision.value()}}});
}

RoleLeases::Builder& RoleLeases::Builder::SetSettings(
    RoleLeasesSettings settings) {
  settings_ = settings;
  return *this;
}

RoleLeases::Builder& RoleLeases::Builder::SetSelf(NodeId self) {
  self_ = std::move(self);
  return *this;
}

RoleLeases::Builder& RoleLeases::Builder::SetLease(
    std::function<std::optional<HeldLease>(Time)> lease) {
  lease_ = std::move(lease);
  return *this;
}

RoleLeases::Builder& RoleLeases::Builder::SetRevisionFloor(
    std::function<Revision()> floor) {
  revision_floor_ = std::move(floor);
  return *this;
}

RoleLeases::Builder& RoleLeases::Builder::SetRandom(Random random) {
  random_ = std::move(random);
  return *this;
}

RoleLeases::Builder& RoleLeases::Builder::SetEventSink(EventSink sink) {
  sink_ = std::move(sink);
  return *this;
}

RoleLeases RoleLeases::Builder::Build() const {
  return RoleLeases(settings_, self_, lease_, revision_floor_, random_, sink_);
}

}  // namespace gcw
