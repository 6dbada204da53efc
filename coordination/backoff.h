#ifndef COORDINATION_BACKOFF_H_
#define COORDINATION_BACKOFF_H_

#include "core/core.h"

namespace gcw {

struct BackoffSettings {
  Duration initial = Duration::Millis(500);
  Duration maximum = Duration::Seconds(8);
};

// Exponential backoff with jitter. Without jitter, all nodes would call the
// key-value service at the same moment when it returns from an outage, and
// exceed its rate again.
class Backoff {
 public:
  explicit Backoff(BackoffSettings settings) : settings_(settings) {}

  // Returns the delay after one more failure.
  Duration Next(const Random& random);
  void Reset() { failures_ = 0; }
  void SetMaximum(Duration maximum) { settings_.maximum = maximum; }

 private:
  BackoffSettings settings_;
  int failures_ = 0;
};

}  // namespace gcw

#endif  // COORDINATION_BACKOFF_H_
