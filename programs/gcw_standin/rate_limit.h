#ifndef PROGRAMS_GCW_STANDIN_RATE_LIMIT_H_
#define PROGRAMS_GCW_STANDIN_RATE_LIMIT_H_

#include "core/core.h"

namespace gcw {

// Token bucket with a capacity of a quarter of a second's calls, but at least
// one.
class RateLimit {
 public:
  // 0 means no limit.
  explicit RateLimit(double per_second);

  bool HasToken(Time now);
  // Must only be called if `HasToken` returned true.
  void TakeToken();
  // Returns the time until the next call is allowed.
  Duration TimeUntilToken() const;

 private:
  void Refill(Time now);

  double per_second_;
  double capacity_;
  double tokens_;
  Time refilled_at_;
};

}  // namespace gcw

#endif  // PROGRAMS_GCW_STANDIN_RATE_LIMIT_H_
