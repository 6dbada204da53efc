#include "coordination/node/node_events.h"

namespace gcw {

std::string_view AttemptFailureKindName(AttemptFailureKind kind) {
  switch (kind) {
    case AttemptFailureKind::kConnectRefused:
      return "connect_refused";
    case AttemptFailureKind::kConnectTimeout:
      return "connect_timeout";
    case AttemptFailureKind::kReset:
      return "reset";
    case AttemptFailureKind::kStalled:
      return "silent";
    case AttemptFailureKind::kDeadline:
      return "deadline";
    case AttemptFailureKind::kMalformed:
      return "malformed";
    case AttemptFailureKind::kTruncated:
      return "truncated";
    case AttemptFailureKind::kWithheld:
      return "withheld";
  }
  return "unknown";
}

}  // namespace gcw
