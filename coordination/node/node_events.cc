#include "coordination/node/node_events.h"

namespace gcw {

std::string_view AttemptBreakKindName(AttemptBreakKind kind) {
  switch (kind) {
    case AttemptBreakKind::kConnectRefused:
      return "connect_refused";
    case AttemptBreakKind::kConnectTimeout:
      return "connect_timeout";
    case AttemptBreakKind::kReset:
      return "reset";
    case AttemptBreakKind::kSilent:
      return "silent";
    case AttemptBreakKind::kDeadline:
      return "deadline";
    case AttemptBreakKind::kMalformed:
      return "malformed";
    case AttemptBreakKind::kTruncated:
      return "truncated";
    case AttemptBreakKind::kWithheld:
      return "withheld";
  }
  return "unknown";
}

}  // namespace gcw
