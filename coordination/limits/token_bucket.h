#ifndef COORDINATION_LIMITS_TOKEN_BUCKET_H_
#define COORDINATION_LIMITS_TOKEN_BUCKET_H_

#include "core/core.h"

namespace gcw {

// A token bucket whose rate changes at run time. It may go into debt, because
// what a request used is known only after the request has ended.
class TokenBucket {
 public:
  // `rate` per second; the bucket holds at most `depth`.
  void SetRate(Time now, double rate, double depth);
  // Sets the level of a bucket that has just come into use.
  void SetLevel(double level) { level_ = level; }

  // True if the bucket holds `amount`, or is full with a depth below `amount`.
  bool CanTake(Time now, double amount);
  void Take(double amount) { level_ -= amount; }
  void Return(double amount);
  // Time until `CanTake(amount)` at the present rate; at most a day, also if
  // the rate is zero.
  Duration WaitFor(Time now, double amount);

  double rate() const { return rate_; }
  double level() const { return level_; }

 private:
  void Refill(Time now);

  double rate_ = 0;
  double depth_ = 0;
  double level_ = 0;
  Time refilled_;
};

}  // namespace gcw

#endif  // COORDINATION_LIMITS_TOKEN_BUCKET_H_
