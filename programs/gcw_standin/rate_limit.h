#ifndef PROGRAMS_GCW_STANDIN_RATE_LIMIT_H_
#define PROGRAMS_GCW_STANDIN_RATE_LIMIT_H_

#include "core/core.h"

namespace gcw {

// Token bucket that holds a quarter of a second's worth, and at least one.
class RateLimit {
 public:
  // 0 for no limit.
  explicit RateLimit(double per_second);

  bool HasRoom(Time now);
  // Call only when there is room.
  void Take();
  // Until the next call has room.
  Duration Wait() const;

 private:
  void Refill(Time now);

  double per_second_;
  double capacity_;
  double level_;
  Time refilled_;
};

}  // namespace gcw

#endif  // PROGRAMS_GCW_STANDIN_RATE_LIMIT_H_
