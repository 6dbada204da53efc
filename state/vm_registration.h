#ifndef STATE_VM_REGISTRATION_H_
#define STATE_VM_REGISTRATION_H_

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/core.h"
#include "state/vm_list.h"

namespace gcw {

// What a VM's engine says of its part in a replica group.
enum class MemberPhase {
  // Loads its weights.
  kJoining,
  kReady,
  // As the first member: takes requests.
  kOpen,
  // As the first member: runs what it has, takes nothing new.
  kClosing,
  // A member was lost; what ran was cut off.
  kBroken,
};

std::string_view MemberPhaseName(MemberPhase phase);

struct GroupMembership {
  GroupId group;
  Generation generation;
  // The first member has rank 0 and takes the group's requests.
  std::int64_t rank = 0;
  MemberPhase phase = MemberPhase::kJoining;

  friend bool operator==(const GroupMembership&,
                         const GroupMembership&) = default;
};

// One run of an endpoint's process on a VM, as it registered itself.
struct VmRegistration {
  VmId id;
  // Its start. A run that starts again under the same id has another one; it
  // holds and knows nothing of the run before. Zero where it does not say.
  Incarnation incarnation;
  ServiceId service;
  Address address;
  ZoneId zone;
  // It will stop soon and takes nothing new.
  bool draining = false;
  // Requests that it runs at once.
  std::int64_t places = 1;
  // How much longer it is slow after its start.
  Duration warm_up_left;
  // Empty for plain services.
  FabricDomainId domain;
  // Models whose weights its host holds.
  std::vector<ModelId> staged;
  // Models that its engine holds.
  std::vector<ModelId> models;
  std::optional<GroupMembership> membership;

  bool HasStaged(const ModelId& model) const {
    return std::find(staged.begin(), staged.end(), model) != staged.end();
  }
  // Whether it can join a group of the model without a load from the weight
  // store.
  bool HasAtHand(const ModelId& model) const {
    return HasStaged(model) || (!models.empty() && models.front() == model);
  }

  friend bool operator==(const VmRegistration&,
                         const VmRegistration&) = default;
};

}  // namespace gcw

#endif  // STATE_VM_REGISTRATION_H_
