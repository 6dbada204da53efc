#ifndef STATE_DOMAIN_RECORD_H_
#define STATE_DOMAIN_RECORD_H_

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

#include "core/core.h"

namespace gcw {

enum class GroupState {
  // Members are written down; load orders are on their way.
  kLoading,
  // All members confirmed this generation; nodes may route to it on evidence.
  kServing,
  // A planned stop: runs what it has, receives nothing new.
  kDraining,
};

std::string_view GroupStateName(GroupState state);

// A replica group as the record of its fabric domain holds it.
struct GroupRecord {
  GroupId id;
  ModelId model;
  Generation generation;
  GroupState state = GroupState::kLoading;
  // In rank order; the first one takes requests for the group.
  std::vector<VmId> members;

  friend bool operator==(const GroupRecord&, const GroupRecord&) = default;
};

// A VM that was taken out of a group and may still run its engine part. It
// joins no other group before its engine confirmed that it left, or the VM is
// confirmed gone.
struct LeavingMember {
  VmId vm;
  GroupId group;
  Generation generation;

  friend bool operator==(const LeavingMember&, const LeavingMember&) = default;
};

// Everything that is agreed on about the groups of one fabric domain, kept
// under one key. Since all members of a group share a domain, moving a VM
// between groups is one compare-and-swap of this record.
struct DomainRecord {
  FabricDomainId domain;
  std::vector<GroupRecord> groups;
  std::vector<LeavingMember> leaving;
  // Fencing number of the keeper that wrote the record.
  FencingToken written_by;
  // Settles whether a write whose answer was lost took effect.
  ChangeId change;

  friend bool operator==(const DomainRecord&, const DomainRecord&) = default;
};

enum class DomainRecordErrorKind {
  kVmInTwoPlaces,
  kGroupTwice,
  kGroupEmpty,
  kGenerationWentBack,
};

struct DomainRecordError {
  DomainRecordErrorKind kind;
  // The VM or group at fault.
  std::string_view subject;
};

// The first reason why the record may not be written, if there is one.
std::optional<DomainRecordError> FindFault(const DomainRecord& record);

}  // namespace gcw

#endif  // STATE_DOMAIN_RECORD_H_
