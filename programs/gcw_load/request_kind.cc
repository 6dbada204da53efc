#include "programs/gcw_load/request_kind.h"

namespace gcw {

std::string_view RequestKindName(RequestKind kind) {
  switch (kind) {
    case RequestKind::kPaidStream:
      return "paid stream";
    case RequestKind::kPaidWhole:
      return "paid whole";
    case RequestKind::kTrialStream:
      return "trial stream";
    case RequestKind::kTrialWhole:
      return "trial whole";
    case RequestKind::kReservation:
      return "reservations";
  }
  return "unknown";
}

bool IsStream(RequestKind kind) {
  return kind == RequestKind::kPaidStream || kind == RequestKind::kTrialStream;
}

bool IsTrial(RequestKind kind) {
  return kind == RequestKind::kTrialStream || kind == RequestKind::kTrialWhole;
}

}  // namespace gcw
