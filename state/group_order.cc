#include "state/group_order.h"

namespace gcw {

std::string_view GroupOrderKindName(GroupOrderKind kind) {
  switch (kind) {
    case GroupOrderKind::kJoin:
      return "join";
    case GroupOrderKind::kOpen:
      return "open";
    case GroupOrderKind::kClose:
      return "close";
    case GroupOrderKind::kLeave:
      return "leave";
    case GroupOrderKind::kStage:
      return "stage";
  }
  return "unknown";
}

std::string_view ProbeVerdictName(ProbeVerdict verdict) {
  switch (verdict) {
    case ProbeVerdict::kAnswered:
      return "answered";
    case ProbeVerdict::kOtherVm:
      return "other_vm";
    case ProbeVerdict::kConnected:
      return "connected";
    case ProbeVerdict::kRefused:
      return "refused";
    case ProbeVerdict::kUnreachable:
      return "unreachable";
  }
  return "unknown";
}

std::string_view GroupOrderVerdictName(GroupOrderVerdict verdict) {
  switch (verdict) {
    case GroupOrderVerdict::kBegun:
      return "begun";
    case GroupOrderVerdict::kDone:
      return "done";
    case GroupOrderVerdict::kMisfit:
      return "misfit";
    case GroupOrderVerdict::kStale:
      return "stale";
    case GroupOrderVerdict::kOtherVm:
      return "other_vm";
    case GroupOrderVerdict::kRefused:
      return "refused";
    case GroupOrderVerdict::kNoAnswer:
      return "no_answer";
    case GroupOrderVerdict::kUnreachable:
      return "unreachable";
  }
  return "unknown";
}

}  // namespace gcw
