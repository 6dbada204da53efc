#ifndef COORDINATION_ROUTING_FAILURE_BACKOFF_H_
#define COORDINATION_ROUTING_FAILURE_BACKOFF_H_

#include <cstdint>

#include "core/core.h"

namespace gcw {

struct FailureBackoffSettings {
  // Backoff after the first failure; each further failure doubles it.
  Duration initial_backoff = Duration::Millis(500);
  Duration max_backoff = Duration::Seconds(10);
  // Another trial request is allowed if the last one has had no result for this
  // long.
  Duration trial_timeout = Duration::Seconds(10);
};

// Excludes an endpoint that fails requests. An endpoint that refuses requests
// immediately reports no load and would attract all of them; the symptom is
// many fast failures from a single endpoint that looks idle. After the backoff,
// the endpoint gets one trial request, and others only after that one
// succeeded.
class FailureBackoff {
 public:
  explicit FailureBackoff(const FailureBackoffSettings& settings);

  bool AllowsRequest(Time now) const;
  void OnSent(Time now);
  void OnSucceeded();
  void OnFailed(Time now);
  // The result of the request will never be known.
  void OnAbandoned() { has_trial_ = false; }

  Time ends_at() const { return ends_at_; }
  std::int64_t failures() const { return failures_; }

 private:
  FailureBackoffSettings settings_;
  // Recent failures. A success halves the count instead of clearing it, so that
  // an endpoint that fails half of its requests does not count as healthy.
  std::int64_t failures_ = 0;
  Time ends_at_;
  bool has_trial_ = false;
  Time trial_sent_;
};

}  // namespace gcw

#endif  // COORDINATION_ROUTING_FAILURE_BACKOFF_H_
