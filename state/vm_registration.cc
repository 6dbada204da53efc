#include "state/vm_registration.h"

namespace gcw {

std::string_view MemberPhaseName(MemberPhase phase) {
  switch (phase) {
    case MemberPhase::kJoining:
      return "joining";
    case MemberPhase::kReady:
      return "ready";
    case MemberPhase::kOpen:
      return "open";
    case MemberPhase::kClosing:
      return "closing";
    case MemberPhase::kBroken:
      return "broken";
  }
  return "unknown";
}

}  // namespace gcw
