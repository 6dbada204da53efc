#include "coordination/configuration/record_changes.h"

#include <algorithm>
#include <set>
#include <variant>

namespace gcw {
namespace {

bool Contains(const std::vector<VmId>& vms, const VmId& vm) {
  return std::find(vms.begin(), vms.end(), vm) != vms.end();
}

bool Apply(DomainRecord& record,
           const ReplaceMembers& move,
           const GroupId& /*new_group*/) {
  GroupRecord* group = FindGroup(record, move.group);
  if (group == nullptr || move.removed.size() != move.added.size()) {
    return false;
  }
  for (const VmId& vm : move.removed) {
    if (!Contains(group->members, vm)) {
      return false;
    }
  }
  for (const VmId& vm : move.added) {
    if (!Contains(move.removed, vm) && IsMemberOrLeaving(record, vm)) {
      return false;
    }
  }
  for (std::size_t i = 0; i < move.removed.size(); ++i) {
    if (!Contains(move.added, move.removed[i])) {
      record.leaving.push_back(
          LeavingMember{move.removed[i], group->id, group->generation});
    }
    std::replace(group->members.begin(), group->members.end(), move.removed[i],
                 move.added[i]);
  }
  ++group->generation;
  group->state = GroupState::kLoading;
  return true;
}

bool Apply(DomainRecord& record,
           const FormGroup& move,
           const GroupId& new_group) {
  if (move.members.empty() || FindGroup(record, new_group) != nullptr) {
    return false;
  }
  for (const VmId& vm : move.members) {
    if (IsMemberOrLeaving(record, vm)) {
      return false;
    }
  }
  record.groups.push_back(GroupRecord{new_group, move.model, Generation(1),
                                      GroupState::kLoading, move.members});
  return true;
}

bool Apply(DomainRecord& record,
           const DrainGroup& move,
           const GroupId& /*new_group*/) {
  GroupRecord* group = FindGroup(record, move.group);
  // Only a serving group has requests to finish, and only a serving group's
  // members are all known to be at the recorded generation.
  if (group == nullptr || group->state != GroupState::kServing) {
    return false;
  }
  group->state = GroupState::kDraining;
  return true;
}

bool Apply(DomainRecord& record,
           const DissolveGroup& move,
           const GroupId& /*new_group*/) {
  if (FindGroup(record, move.group) == nullptr) {
    return false;
  }
  RemoveGroup(record, move.group);
  return true;
}

}  // namespace

const GroupRecord* FindGroup(const DomainRecord& record, const GroupId& group) {
  for (const GroupRecord& candidate : record.groups) {
    if (candidate.id == group) {
      return &candidate;
    }
  }
  return nullptr;
}

GroupRecord* FindGroup(DomainRecord& record, const GroupId& group) {
  for (GroupRecord& candidate : record.groups) {
    if (candidate.id == group) {
      return &candidate;
    }
  }
  return nullptr;
}

const GroupRecord* FindGroupOf(const DomainRecord& record, const VmId& vm) {
  for (const GroupRecord& group : record.groups) {
    if (Contains(group.members, vm)) {
      return &group;
    }
  }
  return nullptr;
}

bool IsMemberOrLeaving(const DomainRecord& record, const VmId& vm) {
  return FindGroupOf(record, vm) != nullptr ||
         std::any_of(
             record.leaving.begin(), record.leaving.end(),
             [&](const LeavingMember& member) { return member.vm == vm; });
}

bool ApplyMove(DomainRecord& record,
               const RepairMove& move,
               const GroupId& new_group) {
  return std::visit(
      [&](const auto& typed) { return Apply(record, typed, new_group); }, move);
}

void RemoveGroup(DomainRecord& record, const GroupId& group) {
  for (const GroupRecord& candidate : record.groups) {
    if (candidate.id != group) {
      continue;
    }
    for (const VmId& vm : candidate.members) {
      record.leaving.push_back(LeavingMember{vm, group, candidate.generation});
    }
  }
  std::erase_if(record.groups, [&](const GroupRecord& candidate) {
    return candidate.id == group;
  });
}

}  // namespace gcw
