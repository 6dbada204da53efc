#include "coordination/limits/demand_meter.h"

#include <algorithm>
#include <cmath>

namespace gcw {
namespace {

constexpr double kRiseTimeConstantMillis = 500;
constexpr double kFallTimeConstantMillis = 3000;
constexpr double kMillisPerSecond = 1000.0;
// Demand added over a longer time is averaged over this much only.
constexpr double kMaxWindowMillis = 2000;

}  // namespace

double DemandMeter::Measure(Time now) {
  const auto elapsed = static_cast<double>((now - measured_).millis());
  if (elapsed <= 0) {
    return rate_;
  }
  const double millis = std::min(elapsed, kMaxWindowMillis);
  const double current = pending_ * kMillisPerSecond / millis;
  const double time_constant =
      current > rate_ ? kRiseTimeConstantMillis : kFallTimeConstantMillis;
  rate_ += (current - rate_) * (1 - std::exp(-millis / time_constant));
  pending_ = 0;
  measured_ = now;
  return rate_;
}

}  // namespace gcw
