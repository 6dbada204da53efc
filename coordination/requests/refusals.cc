#include "coordination/requests/refusals.h"

namespace gcw {

RefusalKind ShareRefusalKind(ShareOutcome outcome) {
  switch (outcome) {
    case ShareOutcome::kRequestRate:
      return RefusalKind::kRequestRate;
    case ShareOutcome::kTokenRate:
      return RefusalKind::kTokenRate;
    case ShareOutcome::kConcurrency:
      return RefusalKind::kConcurrency;
    case ShareOutcome::kUnknownContract:
      return RefusalKind::kContractNotValid;
    case ShareOutcome::kGranted:
    case ShareOutcome::kPending:
      return RefusalKind::kNoCapacity;
  }
  return RefusalKind::kNoCapacity;
}

bool CanSucceedLater(RefusalKind kind) {
  return kind != RefusalKind::kUnknownKey &&
         kind != RefusalKind::kContractNotValid &&
         kind != RefusalKind::kModelNotAllowed &&
         kind != RefusalKind::kServiceNotAllowed;
}

}  // namespace gcw
