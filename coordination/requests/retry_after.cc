#include "coordination/requests/retry_after.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace gcw {

bool CanPassByItself(RefusalKind kind) {
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
  if (!CanPassByItself(kind)) {
    return Duration();
  }
  const auto now_millis = static_cast<double>(now.millis());
  const auto shortest = static_cast<double>(settings_.shortest.millis());
  const auto longest = static_cast<double>(settings_.longest.millis());
  // The schedule never extends past the longest delay. When it is full, callers
  // share its last slot and only the jitter separates them.
  last_place_ = std::clamp(last_place_ + 1000 / return_rate_,
                           now_millis + shortest, now_millis + longest);
  const double millis = Jittered(last_place_ - now_millis);
  return Duration::Millis(
      std::max(settings_.shortest.millis(), static_cast<std::int64_t>(millis)));
}

double RetryAfterPlanner::Jittered(double millis) const {
  return millis * (1 + settings_.jitter * (2 * DrawUnit(random_) - 1));
}

}  // namespace gcw
