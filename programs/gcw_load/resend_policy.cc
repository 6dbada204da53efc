#include "programs/gcw_load/resend_policy.h"

namespace gcw {

ResendPolicy::ResendPolicy(Settings settings) : settings_(settings) {}

std::optional<Duration> ResendPolicy::OnFailedSend(const FailedAnswer& failed) {
  ++sends_;
  // A refusal concerns only its own send. The key is used by this run alone, so
  // `once_in_progress` means that an earlier send of this run is running.
  if (failed.kind == FailedAnswerKind::kUnknown ||
      failed.type == "once_in_progress") {
    may_have_run_ = true;
  }
  const Duration wait = failed.retry_after.value_or(settings_.retry_delay);
  if (failed.permanent || sends_ > settings_.max_resends ||
      wait > settings_.max_retry_delay) {
    return std::nullopt;
  }
  return wait;
}

KeyOutcome ResendPolicy::outcome() const {
  return may_have_run_ ? KeyOutcome::kUnknown : KeyOutcome::kRefused;
}

}  // namespace gcw
