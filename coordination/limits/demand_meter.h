#ifndef COORDINATION_LIMITS_DEMAND_METER_H_
#define COORDINATION_LIMITS_DEMAND_METER_H_

#include "core/core.h"

namespace gcw {

// Measures the rate of demand, granted or not. The rate rises fast, so that a
// burst gets its share soon, and falls slowly, so that shares do not oscillate.
class DemandMeter {
 public:
  void Add(double amount) { pending_ += amount; }
  // Updates the rate with what was added since the last call and returns it,
  // per second.
  double Measure(Time now);
  double rate() const { return rate_; }

 private:
  double pending_ = 0;
  double rate_ = 0;
  Time measured_;
};

}  // namespace gcw

#endif  // COORDINATION_LIMITS_DEMAND_METER_H_
