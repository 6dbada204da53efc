#ifndef COORDINATION_GROUPS_VM_PROBE_H_
#define COORDINATION_GROUPS_VM_PROBE_H_

#include <variant>

#include "state/state.h"

namespace gcw {

// Identifies a probe until its reply arrives; unique per module.
using ProbeId = StrongNumber<struct ProbeIdTag>;

// Probes a VM: `GET /status` of a model engine, `GET /load` of a plain service.
// The transport gives up after `timeout`.
struct ProbeVm {
  ProbeId id;
  VmId vm;
  VmPurpose purpose = VmPurpose::kModelEngine;
  Address address;
  Duration timeout;
};

// A plain service answered.
struct ServiceAlive {};

// Why a probe returned no status.
enum class ProbeFailure {
  // Nothing listens at the address: the process is gone, but the VM may be up.
  kRefused,
  // No answer in time: the VM is dead, paused, or cut off from this node.
  kTimeout,
  // The answer is not from the engine expected at the address.
  kMalformed,
};

struct ProbeFailed {
  ProbeFailure failure = ProbeFailure::kTimeout;
};

using ProbeReply = std::variant<EngineStatus, ServiceAlive, ProbeFailed>;

}  // namespace gcw

#endif  // COORDINATION_GROUPS_VM_PROBE_H_
