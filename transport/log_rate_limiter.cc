#include "transport/log_rate_limiter.h"

#include <utility>

namespace gcw {
namespace {

constexpr std::int64_t kMillisPerSecond = 1000;

}  // namespace

LogClass LogClassOf(EventKind kind) {
  switch (kind) {
    case EventKind::kRequestRefused:
    case EventKind::kRequestHedged:
    case EventKind::kRequestRetried:
    case EventKind::kRequestOutcomeUnknown:
    case EventKind::kTrialPreempted:
    case EventKind::kOnceRefused:
      return LogClass::kRequestFailure;
    case EventKind::kRequestAdmitted:
    case EventKind::kRequestQueued:
    case EventKind::kRequestDispatched:
    case EventKind::kRequestRelayed:
    case EventKind::kRequestFinished:
    case EventKind::kRequestCancelled:
    case EventKind::kOnceClaimed:
    case EventKind::kOnceReplayed:
      return LogClass::kRequestProgress;
    default:
      return LogClass::kStateChange;
  }
}

LogRateLimiter::LogRateLimiter(const LogRateLimiterSettings& settings,
                               WriteFunction write,
                               ReportDropped report_dropped)
    : write_(std::move(write)), report_dropped_(std::move(report_dropped)) {
  usages_[static_cast<std::size_t>(LogClass::kStateChange)].limit =
      settings.state_change_lines;
  usages_[static_cast<std::size_t>(LogClass::kRequestFailure)].limit =
      settings.request_failure_lines;
  usages_[static_cast<std::size_t>(LogClass::kRequestProgress)].limit =
      settings.request_progress_lines;
}

void LogRateLimiter::Write(const TimelineEvent& event) {
  const std::int64_t second = event.time.physical.millis() / kMillisPerSecond;
  if (second != second_) {
    BeginSecond(second);
  }
  ClassUsage& usage =
      usages_[static_cast<std::size_t>(LogClassOf(event.draft.kind))];
  if (usage.written >= usage.limit) {
    ++usage.dropped;
    ++dropped_;
    return;
  }
  ++usage.written;
  write_(event);
}

void LogRateLimiter::BeginSecond(std::int64_t second) {
  second_ = second;
  for (std::size_t i = 0; i < kClassCount; ++i) {
    ClassUsage& usage = usages_[i];
    if (usage.dropped > 0) {
      report_dropped_(static_cast<LogClass>(i), usage.dropped);
    }
    usage.written = 0;
    usage.dropped = 0;
  }
}

}  // namespace gcw
