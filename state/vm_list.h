#ifndef STATE_VM_LIST_H_
#define STATE_VM_LIST_H_

#include <cstdint>
#include <string>
#include <vector>

#include "core/core.h"

namespace gcw {

// An IP address and port, as written in settings: "127.0.0.1:8080".
using Address = StrongId<struct AddressTag>;

enum class VmState { kLive, kLeaving };

// What a VM runs: part of a replica group, or a plain service.
enum class VmPurpose { kModelEngine, kPlainService };

// One row of the platform's VM list. The list lags behind the VMs.
struct VmEntry {
  VmId id;
  VmState state = VmState::kLive;
  VmPurpose purpose = VmPurpose::kModelEngine;
  FabricDomainId domain;
  ZoneId zone;
  Address address;
  std::int64_t accelerators = 0;
  // The service that the VM runs; empty for model engines.
  ServiceId service;

  friend bool operator==(const VmEntry&, const VmEntry&) = default;
};

// The list as one read of it returned it.
struct VmListSnapshot {
  // When the platform says that the list held.
  Time as_of;
  std::vector<VmEntry> vms;
};

}  // namespace gcw

#endif  // STATE_VM_LIST_H_
