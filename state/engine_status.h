#ifndef STATE_ENGINE_STATUS_H_
#define STATE_ENGINE_STATUS_H_

#include <cstdint>
#include <vector>

#include "core/core.h"

namespace gcw {

enum class EngineState { kIdle, kLoading, kReady, kDraining, kFailed };

// What one VM's engine says of itself.
struct EngineStatus {
  VmId vm;
  Incarnation incarnation;
  // Empty while it belongs to none.
  GroupId group;
  ModelId model;
  Generation generation;
  // Its place in the group; rank 0 takes requests.
  std::int64_t rank = 0;
  EngineState state = EngineState::kIdle;
  // The highest fencing number it has seen.
  FencingToken fence;
  // The members of this generation that it sees at work, itself included. Only
  // rank 0 looks for others.
  std::vector<VmId> members_seen;
  // Requests that it holds, queued and running.
  std::int64_t active = 0;

  friend bool operator==(const EngineStatus&, const EngineStatus&) = default;
};

}  // namespace gcw

#endif  // STATE_ENGINE_STATUS_H_
