#ifndef STATE_GROUP_ORDER_H_
#define STATE_GROUP_ORDER_H_

#include <string_view>
#include <vector>

#include "core/core.h"

namespace gcw {

enum class GroupOrderKind {
  // Become a member of a group; sent to each member.
  kJoin,
  // To the first member once all are ready: take requests.
  kOpen,
  // To the first member: run what it has, then stop serving.
  kClose,
  // Leave the group at once.
  kLeave,
  // Load a model's weights onto the host, beside all other work.
  kStage,
};

std::string_view GroupOrderKindName(GroupOrderKind kind);

// What the keeper tells one VM's engine to do.
struct GroupOrder {
  GroupOrderKind kind = GroupOrderKind::kJoin;
  GroupId group;
  Generation generation;
  ModelId model;
  // Of a join, in rank order.
  std::vector<VmId> members;
  // Engines refuse orders with a lower number than one they have seen.
  FencingToken fence;
};

enum class GroupOrderVerdict {
  // It has begun; the registration tells when it is done.
  kBegun,
  // The state asked for already holds.
  kDone,
  // It does not fit the engine's state; nothing was done.
  kMisfit,
  // The engine has seen a higher fencing number or generation.
  kStale,
  // The VM at the address is another one.
  kOtherVm,
  // Not understood.
  kRefused,
  // It may have been carried out, or may still be, much later.
  kNoAnswer,
  // No connection came about: it was not carried out.
  kUnreachable,
};

// What a question to a VM's engine showed.
enum class ProbeVerdict {
  // The engine answered for this VM.
  kAnswered,
  // Another VM has the address.
  kOtherVm,
  // The VM lives, but its engine said nothing.
  kConnected,
  // Its process is gone.
  kRefused,
  // No connection came about.
  kUnreachable,
};

std::string_view ProbeVerdictName(ProbeVerdict verdict);

struct ProbeReport {
  ProbeVerdict verdict = ProbeVerdict::kUnreachable;
  // Factor on the engine's times; 1 where it works as it should.
  double pace = 1;
  // Requests that it runs or that wait there.
  std::int64_t requests = 0;
};

std::string_view GroupOrderVerdictName(GroupOrderVerdict verdict);

}  // namespace gcw

#endif  // STATE_GROUP_ORDER_H_
