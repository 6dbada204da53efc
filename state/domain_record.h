#ifndef STATE_DOMAIN_RECORD_H_
#define STATE_DOMAIN_RECORD_H_

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

#include "core/core.h"

namespace gcw {

enum class GroupState {
  // The members are recorded; load orders are being sent.
  kLoading,
  // All members confirmed this generation. Nodes route to the group once they
  // have evidence that it serves.
  kServing,
  // Planned shutdown: the group finishes its requests and receives no new ones.
  kDraining,
};

std::string_view GroupStateName(GroupState state);

// A replica group in the record of its fabric domain.
struct GroupRecord {
  GroupId id;
  ModelId model;
  Generation generation;
  GroupState state = GroupState::kLoading;
  // In rank order; the first member receives the group's requests.
  std::vector<VmId> members;

  friend bool operator==(const GroupRecord&, const GroupRecord&) = default;
};

// A VM that was removed from a group and may still run its part of the engine.
// It joins no other group until its engine confirms that it left, or the VM is
// confirmed gone.
struct LeavingMember {
  VmId vm;
  GroupId group;
  Generation generation;

  friend bool operator==(const LeavingMember&, const LeavingMember&) = default;
};

// The agreed state of all groups of one fabric domain, stored under one key.
// All members of a group share a domain, so moving a VM between groups is one
// compare-and-swap of this record.
struct DomainRecord {
  FabricDomainId domain;
  std::vector<GroupRecord> groups;
  std::vector<LeavingMember> leaving;
  // Fencing token of the controller that wrote the record.
  FencingToken writer_token;
  // Shows whether a write whose reply was lost took effect.
  ChangeId change;

  friend bool operator==(const DomainRecord&, const DomainRecord&) = default;
};

enum class DomainRecordErrorKind {
  kDuplicateVm,
  kDuplicateGroup,
  kEmptyGroup,
  kInvalidGeneration,
};

struct DomainRecordError {
  DomainRecordErrorKind kind;
  // The VM or group at fault.
  std::string_view subject;
};

// Returns the first reason why the record must not be written, if any.
std::optional<DomainRecordError> Validate(const DomainRecord& record);

}  // namespace gcw

#endif  // STATE_DOMAIN_RECORD_H_
