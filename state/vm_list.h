#ifndef STATE_VM_LIST_H_
#define STATE_VM_LIST_H_

#include <cstdint>
#include <string>
#include <vector>

#include "core/core.h"

namespace gcw {

// An IP address and port in the format of settings: "127.0.0.1:8080".
using Address = StrongId<struct AddressTag>;

enum class VmState { kLive, kLeaving };

// Workload of a VM: part of a replica group, or a plain service.
enum class VmPurpose { kModelEngine, kPlainService };

// One row of the platform's VM list, which lags behind the actual VMs.
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

// The VM list as returned by one read.
struct VmListSnapshot {
  // Time at which the list was accurate, according to the platform.
  Time as_of;
  std::vector<VmEntry> vms;
};

}  // namespace gcw

#endif  // STATE_VM_LIST_H_
