#ifndef STATE_GROUP_ORDER_H_
#define STATE_GROUP_ORDER_H_

#include <string_view>
#include <vector>

#include "core/core.h"

namespace gcw {

enum class GroupOrderKind {
  // Join a group; sent to each member.
  kJoin,
  // Start to accept requests; sent to the first member once all are ready.
  kOpen,
  // Finish all accepted requests, then stop serving; sent to the first member.
  kClose,
  // Leave the group immediately.
  kLeave,
  // Load a model's weights onto the host, in parallel with all other work.
  kStage,
};

std::string_view GroupOrderKindName(GroupOrderKind kind);

// Order from the controller to one VM's engine.
struct GroupOrder {
  GroupOrderKind kind = GroupOrderKind::kJoin;
  GroupId group;
  Generation generation;
  ModelId model;
  // Members in rank order, for `kJoin` only.
  std::vector<VmId> members;
  // Engines refuse an order with a lower fencing token than one they have seen.
  FencingToken fence;
};

enum class GroupOrderResult {
  // The engine has begun; its registration shows when it is done.
  kStarted,
  // The requested state already holds.
  kDone,
  // The order does not fit the engine's state and was ignored.
  kStateMismatch,
  // The engine has seen a higher fencing token or generation.
  kStale,
  // The address belongs to another VM.
  kWrongVm,
  // The engine did not understand the order.
  kRefused,
  // The order may have been executed, or may still be, much later.
  kNoAnswer,
  // No connection was established, so the order was not executed.
  kUnreachable,
};

// Result of probing a VM's engine.
enum class ProbeResult {
  // The engine answered for this VM.
  kAnswered,
  // The address belongs to another VM.
  kWrongVm,
  // The VM is alive, but its engine did not answer.
  kConnected,
  // The VM refused the connection: the engine's process is gone.
  kRefused,
  // No connection was established.
  kUnreachable,
};

std::string_view ProbeResultName(ProbeResult result);

struct ProbeReport {
  ProbeResult result = ProbeResult::kUnreachable;
  // Factor on the engine's durations; 1 for a healthy engine.
  double slowdown = 1;
  // Number of running and queued requests.
  std::int64_t requests = 0;
};

std::string_view GroupOrderResultName(GroupOrderResult result);

}  // namespace gcw

#endif  // STATE_GROUP_ORDER_H_
