#ifndef COORDINATION_GATEWAY_URGENCY_H_
#define COORDINATION_GATEWAY_URGENCY_H_

#include <compare>

#include "core/core.h"

namespace gcw {

// Which of an endpoint's waiting requests of one rank should begin first; the
// smaller value goes first.
enum class Urgency {
  // A stream that goes on after events that its caller has: each further
  // moment of waiting is a pause in it.
  kResumed,
  // It may still begin within its route's latency objective.
  kOnTime,
  // It runs in the room that the others leave.
  kDeferred,
};

struct Precedence {
  Rank rank;
  Urgency urgency = Urgency::kOnTime;

  friend auto operator<=>(const Precedence&, const Precedence&) = default;
};

}  // namespace gcw

#endif  // COORDINATION_GATEWAY_URGENCY_H_
