#ifndef COORDINATION_GATEWAY_URGENCY_H_
#define COORDINATION_GATEWAY_URGENCY_H_

#include <compare>

#include "core/core.h"

namespace gcw {

// Order in which an endpoint should start its waiting requests of one rank; the
// smallest value goes first.
enum class Urgency {
  // The stream resumes after events that its caller already has, so any further
  // wait is a pause in it.
  kResumed,
  // The request can still start within its route's latency objective.
  kOnTime,
  // The request runs in the capacity that the others leave.
  kDeferred,
};

struct Precedence {
  Rank rank;
  Urgency urgency = Urgency::kOnTime;

  friend auto operator<=>(const Precedence&, const Precedence&) = default;
};

}  // namespace gcw

#endif  // COORDINATION_GATEWAY_URGENCY_H_
