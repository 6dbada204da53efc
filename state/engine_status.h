#ifndef STATE_ENGINE_STATUS_H_
#define STATE_ENGINE_STATUS_H_

#include <cstdint>
#include <vector>

#include "core/core.h"

namespace gcw {

enum class EngineState { kIdle, kLoading, kReady, kDraining, kFailed };

// Status that one VM's engine reports.
struct EngineStatus {
  VmId vm;
  Incarnation incarnation;
  // Empty if the engine belongs to no group.
  GroupId group;
  ModelId model;
  Generation generation;
  // Rank of the engine in the group; rank 0 receives requests.
  std::int64_t rank = 0;
  EngineState state = EngineState::kIdle;
  // Highest fencing token that the engine has seen.
  FencingToken fence;
  // Members of this generation that the engine sees running, itself included.
  // Only rank 0 looks for other members.
  std::vector<VmId> members_seen;
  // Number of queued and running requests.
  std::int64_t active = 0;

  friend bool operator==(const EngineStatus&, const EngineStatus&) = default;
};

}  // namespace gcw

#endif  // STATE_ENGINE_STATUS_H_
