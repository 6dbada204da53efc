#include "coordination/membership/member.h"

#include <algorithm>

namespace gcw {
namespace {

// Returns the ids of the members for which `holds` is true.
template <typename Predicate>
std::vector<NodeId> Select(const View::Members& members, Predicate holds) {
  std::vector<NodeId> nodes;
  for (const auto& [node, member] : members) {
    if (holds(member)) {
      nodes.push_back(node);
    }
  }
  return nodes;
}

bool OwnsWork(const Member& member) {
  return member.state == MemberState::kAlive ||
         (member.state == MemberState::kSuspect && !member.record.leaving);
}

}  // namespace

std::string_view MemberStateName(MemberState state) {
  switch (state) {
    case MemberState::kAlive:
      return "alive";
    case MemberState::kSuspect:
      return "suspect";
    case MemberState::kDead:
      return "dead";
    case MemberState::kLeaving:
      return "leaving";
  }
  return "unknown";
}

const Member* View::Find(const NodeId& node) const {
  const auto it = members_.find(node);
  return it == members_.end() ? nullptr : &it->second;
}

bool View::HasState(const NodeId& node, MemberState state) const {
  const Member* member = Find(node);
  return member != nullptr && member->state == state;
}

std::vector<NodeId> View::Owners() const {
  return Select(members_, OwnsWork);
}

std::vector<NodeId> View::OwnersIn(const ZoneId& zone) const {
  return Select(members_, [&](const Member& member) {
    return OwnsWork(member) && member.record.zone == zone;
  });
}

std::vector<NodeId> View::Reachable() const {
  return Select(members_, [](const Member& member) {
    return member.state != MemberState::kDead;
  });
}

std::vector<NodeId> View::ReachableIn(const ZoneId& zone) const {
  return Select(members_, [&](const Member& member) {
    return member.state != MemberState::kDead && member.record.zone == zone;
  });
}

std::vector<ZoneId> View::Zones() const {
  std::vector<ZoneId> zones;
  for (const auto& [node, member] : members_) {
    if (member.state != MemberState::kDead) {
      zones.push_back(member.record.zone);
    }
  }
  std::sort(zones.begin(), zones.end());
  zones.erase(std::unique(zones.begin(), zones.end()), zones.end());
  return zones;
}

}  // namespace gcw
