#ifndef COORDINATION_GROUPS_VM_PROBE_H_
#define COORDINATION_GROUPS_VM_PROBE_H_

#include <variant>

#include "state/state.h"

namespace gcw {

// Names a probe until its reply arrives; unique per module.
using ProbeId = StrongNumber<struct ProbeIdTag>;

// Asks a VM how it is: `GET /status` of a model engine, `GET /load` of a plain
// service. The transport gives up after the module's probe timeout.
struct ProbeVm {
  ProbeId id;
  VmId vm;
  VmPurpose purpose = VmPurpose::kModelEngine;
  Address address;
  Duration timeout;
};

// A plain service that answered.
struct ServiceAlive {};

// Why a probe brought no status.
enum class ProbeFailure {
  // Nothing listens there: the process is gone, the VM may be up.
  kRefused,
  // No answer in time: dead, paused, or cut off from this node.
  kTimeout,
  // Something answered that is not the engine expected there.
  kMalformed,
};

struct ProbeFailed {
  ProbeFailure failure = ProbeFailure::kTimeout;
};

using ProbeReply = std::variant<EngineStatus, ServiceAlive, ProbeFailed>;

}  // namespace gcw

#endif  // COORDINATION_GROUPS_VM_PROBE_H_
