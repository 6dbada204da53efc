#ifndef COORDINATION_REQUESTS_RETRY_AFTER_H_
#define COORDINATION_REQUESTS_RETRY_AFTER_H_

#include "coordination/requests/request.h"

namespace gcw {

struct RetryAfterSettings {
  Duration min_delay = Duration::Millis(500);
  Duration max_delay = Duration::Seconds(30);
  // Fraction by which a delay is randomly lengthened or shortened.
  double jitter = 0.25;
  // Return rate in callers per second until `SetReturnRate` is first called.
  double initial_return_rate = 5;
  // Minimum return rate, used when there is no spare capacity.
  double min_return_rate = 1;
};

// Plans when refused callers should retry. Callers that all return at once
// cause the next overload, so each refusal gets the next slot of a schedule
// that is spaced by the return rate, with random jitter. The more callers are
// refused, the later they return.
class RetryAfterPlanner {
 public:
  RetryAfterPlanner(const RetryAfterSettings& settings, Random random);

  // Sets the number of requests per second that this node could take in
  // addition to its current load. The node measures it about once a second.
  void SetReturnRate(double requests_per_second);
  // Returns the delay before a retry, or zero if a retry cannot succeed.
  Duration Plan(Time now, RefusalKind kind);

 private:
  double Jittered(double millis) const;

  RetryAfterSettings settings_;
  Random random_;
  double return_rate_;
  // Latest assigned slot, in milliseconds since the epoch.
  double last_slot_ = 0;
};

// True if the reason can go away without a change of the request.
bool IsTransient(RefusalKind kind);

}  // namespace gcw

#endif  // COORDINATION_REQUESTS_RETRY_AFTER_H_
