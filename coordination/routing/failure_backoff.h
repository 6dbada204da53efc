#ifndef COORDINATION_ROUTING_FAILURE_BACKOFF_H_
#define COORDINATION_ROUTING_FAILURE_BACKOFF_H_

#include <cstdint>

#include "core/core.h"

namespace gcw {

struct FailureBackoffSettings {
  // Time left out after the first failure; doubles with each further one.
  Duration first = Duration::Millis(500);
  Duration longest = Duration::Seconds(10);
  // A trial request that brought no result by then is sent again.
  Duration trial_timeout = Duration::Seconds(10);
};

// Leaves out an endpoint that fails. One that refuses at once reports no load
// and would draw all requests; the symptom is many fast failures from a single
// endpoint that looks idle. After its time it gets one request, and more only
// once that succeeded.
class FailureBackoff {
 public:
  explicit FailureBackoff(const FailureBackoffSettings& settings);

  bool IsOpen(Time now) const;
  void OnSent(Time now);
  void OnSucceeded();
  void OnFailed(Time now);
  // The result will never be known.
  void OnAbandoned() { has_trial_ = false; }

  Time until() const { return until_; }
  std::int64_t failures() const { return failures_; }

 private:
  FailureBackoffSettings settings_;
  // In a row; a success halves them, so that an endpoint that fails half of its
  // requests is not taken for healthy.
  std::int64_t failures_ = 0;
  Time until_;
  bool has_trial_ = false;
  Time trial_sent_;
};

}  // namespace gcw

#endif  // COORDINATION_ROUTING_FAILURE_BACKOFF_H_
