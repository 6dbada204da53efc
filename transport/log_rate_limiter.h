#ifndef TRANSPORT_LOG_RATE_LIMITER_H_
#define TRANSPORT_LOG_RATE_LIMITER_H_

#include <array>
#include <cstdint>
#include <functional>

#include "core/core.h"

namespace gcw {

struct LogRateLimiterSettings {
  // The limit per second for changes in what the node knows or holds.
  std::int64_t state_change_lines = 200;
  // The limit per second for requests that were refused, failed or retried.
  std::int64_t request_failure_lines = 40;
  // The limit per second for all other decisions on requests.
  std::int64_t request_progress_lines = 5;
};

// Classes of events with separate limits, by their value for diagnosing a
// failure afterwards.
enum class LogClass { kStateChange, kRequestFailure, kRequestProgress };

LogClass LogClassOf(EventKind kind);

// Limits the log lines per second for events of the timeline. Each class has
// its own limit, so that many successes cannot hide a refusal. The limits also
// keep logging from taking processor time from requests.
class LogRateLimiter {
 public:
  // Receives the events that are within the limits.
  using WriteFunction = std::function<void(const TimelineEvent&)>;
  // Called for each class that dropped events in a second, when the first event
  // of a later second arrives.
  using ReportDropped = std::function<void(LogClass, std::int64_t dropped)>;

  LogRateLimiter(const LogRateLimiterSettings& settings,
                 WriteFunction write,
                 ReportDropped report_dropped);

  void Write(const TimelineEvent& event);
  std::int64_t dropped() const { return dropped_; }

 private:
  static constexpr std::size_t kClassCount = 3;

  struct ClassUsage {
    std::int64_t limit = 0;
    std::int64_t written = 0;
    std::int64_t dropped = 0;
  };

  void BeginSecond(std::int64_t second);

  WriteFunction write_;
  ReportDropped report_dropped_;
  std::array<ClassUsage, kClassCount> usages_;
  std::int64_t second_ = 0;
  std::int64_t dropped_ = 0;
};

}  // namespace gcw

#endif  // TRANSPORT_LOG_RATE_LIMITER_H_
