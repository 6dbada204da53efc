#include "coordination/limits/demand_meter.h"

#include <algorithm>
#include <cmath>

namespace gcw {
namespace {

constexpr double kRiseMillis = 500;
constexpr double kFallMillis = 3000;
constexpr double kMillisPerSecond = 1000.0;
// Demand added over a longer time is averaged over this much only.
constexpr double kLongestMillis = 2000;

}  // namespace

double DemandMeter::Measure(Time now) {
  const auto elapsed = static_cast<double>((now - measured_).millis());
  if (elapsed <= 0) {
    return rate_;
  }
  const double millis = std::min(elapsed, kLongestMillis);
  const double current = pending_ * kMillisPerSecond / millis;
  const double constant = current > rate_ ? kRiseMillis : kFallMillis;
  rate_ += (current - rate_) * (1 - std::exp(-millis / constant));
  pending_ = 0;
  measured_ = now;
  return rate_;
}

}  // namespace gcw
