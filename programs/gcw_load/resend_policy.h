#ifndef PROGRAMS_GCW_LOAD_RESEND_POLICY_H_
#define PROGRAMS_GCW_LOAD_RESEND_POLICY_H_

#include <optional>

#include "programs/gcw_load/error_answer.h"
#include "programs/gcw_load/key_ledger.h"

namespace gcw {

// Decides whether one idempotency key is sent again, and determines its outcome
// when it is given up.
class ResendPolicy {
 public:
  struct Settings {
    // Limit of sends after the first one.
    int max_resends = 3;
    // Delay between sends if the response has no retry time.
    Duration retry_delay = Duration::Millis(200);
    // The key is given up if the response asks for a longer delay.
    Duration max_retry_delay = Duration::Seconds(30);
  };

  explicit ResendPolicy(Settings settings);

  // Records a failed send. Returns the delay before the next one, absent if the
  // key is given up.
  std::optional<Duration> OnFailedSend(const FailedAnswer& failed);

  // The outcome of a key that is given up: refused only if no send may have
  // run.
  KeyOutcome outcome() const;

 private:
  Settings settings_;
  int sends_ = 0;
  bool may_have_run_ = false;
};

}  // namespace gcw

#endif  // PROGRAMS_GCW_LOAD_RESEND_POLICY_H_
