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

std::string_view ProbeResultName(ProbeResult result) {
  switch (result) {
    case ProbeResult::kAnswered:
      return "answered";
    case ProbeResult::kWrongVm:
      return "other_vm";
    case ProbeResult::kConnected:
      return "connected";
    case ProbeResult::kRefused:
      return "refused";
    case ProbeResult::kUnreachable:
      return "unreachable";
  }
  return "unknown";
}

std::string_view GroupOrderResultName(GroupOrderResult result) {
  switch (result) {
    case GroupOrderResult::kStarted:
      return "begun";
    case GroupOrderResult::kDone:
      return "done";
    case GroupOrderResult::kStateMismatch:
      return "misfit";
    case GroupOrderResult::kStale:
      return "stale";
    case GroupOrderResult::kWrongVm:
      return "other_vm";
    case GroupOrderResult::kRefused:
      return "refused";
    case GroupOrderResult::kNoAnswer:
      return "no_answer";
    case GroupOrderResult::kUnreachable:
      return "unreachable";
  }
  return "unknown";
}

}  // namespace gcw
