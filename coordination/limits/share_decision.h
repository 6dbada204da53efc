#ifndef COORDINATION_LIMITS_SHARE_DECISION_H_
#define COORDINATION_LIMITS_SHARE_DECISION_H_

#include "core/core.h"

namespace gcw {

enum class ShareOutcome {
  kGranted,
  // The contract has no share at this node yet, and the owner is asked for one.
  // The caller tries again at the next tick.
  kPending,
  kRequestRate,
  kTokenRate,
  kConcurrency,
  kUnknownContract,
};

struct ShareDecision {
  ShareOutcome outcome = ShareOutcome::kPending;
  // Time until this node's share allows the request; zero if the request is
  // granted or the time is unknown.
  Duration wait;
};

// Only a request's first attempt counts as demand.
enum class AcquireAttempt { kFirst, kRetry };

}  // namespace gcw

#endif  // COORDINATION_LIMITS_SHARE_DECISION_H_
