#include "coordination/requests/retry_after.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace gcw {

bool IsTransient(RefusalKind kind) {
  switch (kind) {
    case RefusalKind::kRequestRate:
    case RefusalKind::kTokenRate:
    case RefusalKind::kConcurrency:
    case RefusalKind::kQueueFull:
    case RefusalKind::kNoCapacity:
    case RefusalKind::kTrialNoHeadroom:
    case RefusalKind::kDeadline:
    case RefusalKind::kNoEndpoint:
    case RefusalKind::kRetryBudget:
    case RefusalKind::kNotReady:
    case RefusalKind::kDraining:
    case RefusalKind::kOnceUnavailable:
    case RefusalKind::kOnceInProgress:
    case RefusalKind::kEndpointRefused:
    case RefusalKind::kEndpointLimit:
    case RefusalKind::kEndpointCooldown:
      return true;
    case RefusalKind::kUnknownKey:
    case RefusalKind::kContractNotValid:
    case RefusalKind::kModelNotAllowed:
    case RefusalKind::kServiceNotAllowed:
    case RefusalKind::kUnknownModel:
    case RefusalKind::kUnknownService:
    case RefusalKind::kFingerprintBlocked:
    case RefusalKind::kOnceMismatch:
      return false;
  }
  return false;
}

RetryAfterPlanner::RetryAfterPlanner(const RetryAfterSettings& settings,
                                     Random random)
    : settings_(settings),
      random_(std::move(random)),
      return_rate_(settings.initial_return_rate) {}

void RetryAfterPlanner::SetReturnRate(double requests_per_second) {
  return_rate_ = std::max(requests_per_second, settings_.min_return_rate);
}

Duration RetryAfterPlanner::Plan(Time now, RefusalKind kind) {
  if (!IsTransient(kind)) {
    return Duration();
  }
  const auto now_millis = static_cast<double>(now.millis());
  const auto min_delay = static_cast<double>(settings_.min_delay.millis());
  const auto max_delay = static_cast<double>(settings_.max_delay.millis());
  // The schedule never extends past the longest delay. When it is full, callers
  // share its last slot and only the jitter separates them.
  last_slot_ = std::clamp(last_slot_ + 1000 / return_rate_,
                          now_millis + min_delay, now_millis + max_delay);
  const double millis = Jittered(last_slot_ - now_millis);
  return Duration::Millis(std::max(settings_.min_delay.millis(),
                                   static_cast<std::int64_t>(millis)));
}

double RetryAfterPlanner::Jittered(double millis) const {
  return millis * (1 + settings_.jitter * (2 * DrawUnit(random_) - 1));
}

}  // namespace gcw
