#include "programs/gcw_load/resend_policy.h"

namespace gcw {

ResendPolicy::ResendPolicy(Settings settings) : settings_(settings) {}

std::optional<Duration> ResendPolicy::OnFailedSend(const FailedAnswer& failed) {
  ++sends_;
  // A refusal speaks of its own send. Since the key is fresh, one that is in
  // progress was sent earlier by us.
  if (failed.kind == FailedAnswerKind::kUnknown ||
      failed.type == "once_in_progress") {
    may_have_run_ = true;
  }
  const Duration wait = failed.retry_after.value_or(settings_.pause);
  if (failed.permanent || sends_ > settings_.resends ||
      wait > settings_.longest_wait) {
    return std::nullopt;
  }
  return wait;
}

KeyOutcome ResendPolicy::outcome() const {
  return may_have_run_ ? KeyOutcome::kUnknown : KeyOutcome::kRefused;
}

}  // namespace gcw
