#ifndef PROGRAMS_GCW_LOAD_RESEND_POLICY_H_
#define PROGRAMS_GCW_LOAD_RESEND_POLICY_H_

#include <optional>

#include "programs/gcw_load/error_answer.h"
#include "programs/gcw_load/key_ledger.h"

namespace gcw {

// Follows the sends of one idempotency key: whether it is sent again and what
// is known of it in the end.
class ResendPolicy {
 public:
  struct Settings {
    // Sends after the first.
    int resends = 3;
    // Between sends where the answer names no time.
    Duration pause = Duration::Millis(200);
    // A time to come back that is longer ends the key.
    Duration longest_wait = Duration::Seconds(30);
  };

  explicit ResendPolicy(Settings settings);

  // A send ended without success. Returns how long to wait before the next one,
  // absent where the key is given up.
  std::optional<Duration> OnFailedSend(const FailedAnswer& failed);

  // Of a key that is given up: refused only if no send may have run.
  KeyOutcome outcome() const;

 private:
  Settings settings_;
  int sends_ = 0;
  bool may_have_run_ = false;
};

}  // namespace gcw

#endif  // PROGRAMS_GCW_LOAD_RESEND_POLICY_H_
