#ifndef COORDINATION_REQUESTS_RETRY_AFTER_H_
#define COORDINATION_REQUESTS_RETRY_AFTER_H_

#include "coordination/requests/request.h"

namespace gcw {

struct RetryAfterSettings {
  Duration shortest = Duration::Millis(500);
  Duration longest = Duration::Seconds(30);
  // Share of a return time by which it is moved at random, either way.
  double jitter = 0.25;
  // Callers sent back per second before the room is known.
  double initial_return_rate = 5;
  // Lowest rate at which callers are asked back while there is no room.
  double min_return_rate = 1;
};

// Tells refused callers when to come back. Callers that all return at once
// make the next overload, so each refusal takes the next place in a line of
// return times as far apart as the room allows, moved by random jitter. The
// more are refused, the later they return.
class RetryAfterPlanner {
 public:
  RetryAfterPlanner(const RetryAfterSettings& settings, Random random);

  // Requests per second that this node could take beyond what it serves now;
  // measured by the node about each second.
  void SetReturnRate(double requests_per_second);
  // When to come back; zero for kinds that coming back does not help.
  Duration Plan(Time now, RefusalKind kind);

 private:
  double Jittered(double millis) const;

  RetryAfterSettings settings_;
  Random random_;
  double return_rate_;
  // Milliseconds since the epoch of the last place given away.
  double last_place_ = 0;
};

// Whether a refusal for this reason can pass by itself.
bool CanPassByItself(RefusalKind kind);

}  // namespace gcw

#endif  // COORDINATION_REQUESTS_RETRY_AFTER_H_
