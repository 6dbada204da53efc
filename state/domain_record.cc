#include "state/domain_record.h"

#include <set>

namespace gcw {
namespace {

DomainRecordError MakeError(DomainRecordErrorKind kind,
                            std::string_view subject) {
  return DomainRecordError{kind, subject};
}

std::optional<DomainRecordError> ValidateGroups(const DomainRecord& record) {
  std::set<GroupId> groups;
  for (const GroupRecord& group : record.groups) {
    if (group.members.empty()) {
      return MakeError(DomainRecordErrorKind::kEmptyGroup, group.id.value());
    }
    if (!groups.insert(group.id).second) {
      return MakeError(DomainRecordErrorKind::kDuplicateGroup,
                       group.id.value());
    }
    if (group.generation < Generation(1)) {
      return MakeError(DomainRecordErrorKind::kInvalidGeneration,
                       group.id.value());
    }
  }
  return std::nullopt;
}

std::optional<DomainRecordError> ValidateVms(const DomainRecord& record) {
  std::set<VmId> vms;
  for (const GroupRecord& group : record.groups) {
    for (const VmId& vm : group.members) {
      if (!vms.insert(vm).second) {
        return MakeError(DomainRecordErrorKind::kDuplicateVm, vm.value());
      }
    }
  }
  for (const LeavingMember& member : record.leaving) {
    if (!vms.insert(member.vm).second) {
      return MakeError(DomainRecordErrorKind::kDuplicateVm, member.vm.value());
    }
  }
  return std::nullopt;
}

// A leaving member must belong to an earlier generation than its group has now.
// Otherwise its engine could not tell whether it still belongs to the group.
std::optional<DomainRecordError> ValidateGenerations(
    const DomainRecord& record) {
  for (const LeavingMember& member : record.leaving) {
    for (const GroupRecord& group : record.groups) {
      if (group.id == member.group && group.generation <= member.generation) {
        return MakeError(DomainRecordErrorKind::kInvalidGeneration,
                         group.id.value());
      }
    }
  }
  return std::nullopt;
}

}  // namespace

std::string_view GroupStateName(GroupState state) {
  switch (state) {
    case GroupState::kLoading:
      return "loading";
    case GroupState::kServing:
      return "serving";
    case GroupState::kDraining:
      return "draining";
  }
  return "unknown";
}

std::optional<DomainRecordError> Validate(const DomainRecord& record) {
  if (const auto error = ValidateGroups(record)) {
    return error;
  }
  if (const auto error = ValidateVms(record)) {
    return error;
  }
  return ValidateGenerations(record);
}

}  // namespace gcw
