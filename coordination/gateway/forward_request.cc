#include "coordination/gateway/forward_request.h"

namespace gcw {

std::string_view ForwardEndKindName(ForwardEndKind kind) {
  switch (kind) {
    case ForwardEndKind::kSucceeded:
      return "succeeded";
    case ForwardEndKind::kEndpointFailed:
      return "failed_there";
    case ForwardEndKind::kNotRun:
      return "not_run";
    case ForwardEndKind::kOtherVm:
      return "other_vm";
    case ForwardEndKind::kNothingSent:
      return "nothing_sent";
    case ForwardEndKind::kConnectionBroken:
      return "broke";
    case ForwardEndKind::kSilent:
      return "silent";
    case ForwardEndKind::kDeadlineExceeded:
      return "out_of_time";
  }
  return "unknown";
}

}  // namespace gcw
