#include "coordination/routing/failure_backoff.h"

#include <algorithm>

namespace gcw {
namespace {

constexpr std::int64_t kMaxDoublings = 10;

}  // namespace

FailureBackoff::FailureBackoff(const FailureBackoffSettings& settings)
    : settings_(settings) {}

bool FailureBackoff::AllowsRequest(Time now) const {
  if (failures_ == 0) {
    return true;
  }
  if (now < ends_at_) {
    return false;
  }
  return !has_trial_ || now - trial_sent_ >= settings_.trial_timeout;
}

void FailureBackoff::OnSent(Time now) {
  if (failures_ > 0) {
    has_trial_ = true;
    trial_sent_ = now;
  }
}

void FailureBackoff::OnSucceeded() {
  has_trial_ = false;
  failures_ /= 2;
}

void FailureBackoff::OnFailed(Time now) {
  has_trial_ = false;
  // Requests that were in flight at the same time fail together and count as
  // one failure.
  if (failures_ > 0 && now < ends_at_) {
    return;
  }
  const std::int64_t doublings = std::min(failures_, kMaxDoublings);
  const Duration wait =
      settings_.initial_backoff * (std::int64_t{1} << doublings);
  ends_at_ = now + std::min(wait, settings_.max_backoff);
  ++failures_;
}

}  // namespace gcw
