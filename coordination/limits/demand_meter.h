#ifndef COORDINATION_LIMITS_DEMAND_METER_H_
#define COORDINATION_LIMITS_DEMAND_METER_H_

#include "core/core.h"

namespace gcw {

// Rate at which something is asked for, granted or not. Rises fast, so that a
// burst gets its share soon, and falls slowly, so that shares do not flutter.
class DemandMeter {
 public:
  void Add(double amount) { pending_ += amount; }
  // Takes in what was added since the last call. Per second.
  double Measure(Time now);
  double rate() const { return rate_; }

 private:
  double pending_ = 0;
  double rate_ = 0;
  Time measured_;
};

}  // namespace gcw

#endif  // COORDINATION_LIMITS_DEMAND_METER_H_
