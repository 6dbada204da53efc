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

// Phase of an engine's membership in a replica group, as the engine reports it.
enum class MemberPhase {
  // The engine loads its weights.
  kJoining,
  kReady,
  // The first member accepts requests.
  kOpen,
  // The first member finishes its requests and accepts no new ones.
  kClosing,
  // A member was lost; the running requests were aborted.
  kBroken,
};

std::string_view MemberPhaseName(MemberPhase phase);

struct GroupMembership {
  GroupId group;
  Generation generation;
  // The first member has rank 0 and receives the group's requests.
  std::int64_t rank = 0;
  MemberPhase phase = MemberPhase::kJoining;

  friend bool operator==(const GroupMembership&,
                         const GroupMembership&) = default;
};

// One run of an endpoint's process on a VM, as it registered itself.
struct VmRegistration {
  VmId id;
  // Identifies the run by its start. A run that restarts under the same id has
  // another incarnation and none of the earlier run's state. Zero if the
  // endpoint does not report it.
  Incarnation incarnation;
  ServiceId service;
  Address address;
  ZoneId zone;
  // The endpoint will stop soon and accepts no new requests.
  bool draining = false;
  // Maximum number of concurrent requests.
  std::int64_t slots = 1;
  // Remaining time for which the endpoint is slow after its start.
  Duration warm_up_left;
  // Empty for plain services.
  FabricDomainId domain;
  // Models whose weights the VM's host holds.
  std::vector<ModelId> staged;
  // Models that the engine holds.
  std::vector<ModelId> models;
  std::optional<GroupMembership> membership;

  bool HasStaged(const ModelId& model) const {
    return std::find(staged.begin(), staged.end(), model) != staged.end();
  }
  // True if the VM can join a group of the model without loading the weights
  // from the weight store.
  bool HasLocalWeights(const ModelId& model) const {
    return HasStaged(model) || (!models.empty() && models.front() == model);
  }

  friend bool operator==(const VmRegistration&,
                         const VmRegistration&) = default;
};

}  // namespace gcw

#endif  // STATE_VM_REGISTRATION_H_
