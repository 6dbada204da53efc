// The periodic read of the role holders. It finds keys that are attached to
// this node's lease without the node's knowledge, held roles whose keys are
// gone or were replaced, and roles that nobody takes.

#include <algorithm>
#include <string_view>

#include "coordination/roles/role_leases.h"

namespace gcw {
namespace {

constexpr std::string_view kRoleKeyPrefix = "role/";

}  // namespace

std::optional<StoreRequest> RoleLeases::NextRead(Time now) {
  const bool idle = roles_.empty() && desired_.empty();
  if (read_call_ || now < next_read_ || (idle && !settings_.read_when_idle)) {
    return std::nullopt;
  }
  const Duration interval = std::max(
      settings_.min_read_interval, settings_.read_interval_per_node *
                                       static_cast<std::int64_t>(node_count_));
  // A random phase spreads the reads of the fleet's nodes over time.
  next_read_ = now + interval / 2 +
               Duration::Millis(static_cast<std::int64_t>(DrawBelow(
                   random_, static_cast<std::uint64_t>(interval.millis()))));
  read_call_ = ++last_id_;
  read_sent_ = now;
  return StoreRequest{last_id_, StoreRange{std::string(kRoleKeyPrefix)}};
}

void RoleLeases::OnRead(Time now, const StoreRangeReply& reply) {
  std::map<RoleName, StoreEntry> read;
  for (const StoreEntry& entry : reply.entries) {
    read.emplace(RoleName(entry.key.substr(kRoleKeyPrefix.size())), entry);
  }
  CompareWithRead(now, read, reply.revision);
  CountFreeReads(now, read);
}

void RoleLeases::CompareWithRead(Time now,
                                 const std::map<RoleName, StoreEntry>& read,
                                 Revision revision) {
  for (auto& [name, role] : roles_) {
    // A read of an older state says nothing about this role's key.
    if (role.phase != Phase::kHeld || revision < role.revision) {
      continue;
    }
    const auto it = read.find(name);
    if (it == read.end() || it->second.revision != role.revision) {
      Drop(name, role);
    }
  }
  const std::optional<HeldLease> lease = lease_(now);
  for (const auto& [name, entry] : read) {
    if (!lease || entry.lease != lease->lease || roles_.contains(name)) {
      continue;
    }
    // An abandoned put arrived late: the key blocks the role for all nodes
    // while no node acts in it. Deletion by revision does no harm if the read
    // was stale.
    Role& role = roles_[name];
    role.phase = Phase::kReleasing;
    role.lease = entry.lease;
    role.revision = entry.revision;
  }
}

void RoleLeases::CountFreeReads(Time now,
                                const std::map<RoleName, StoreEntry>& read) {
  std::erase_if(takeovers_,
                [&](const auto& takeover) { return takeover.second <= now; });
  std::erase_if(free_reads_, [&](const auto& counted) {
    return !known_roles_.contains(counted.first);
  });
  for (const RoleName& name : known_roles_) {
    if (read.contains(name) || desired_.contains(name)) {
      free_reads_.erase(name);
      continue;
    }
    if (++free_reads_[name] < settings_.free_reads_before_takeover) {
      continue;
    }
    free_reads_.erase(name);
    takeovers_[name] = now + settings_.takeover_duration;
    roles_.try_emplace(name);
  }
}

}  // namespace gcw
