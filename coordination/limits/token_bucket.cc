#include "coordination/limits/token_bucket.h"

#include <algorithm>
#include <cmath>

namespace gcw {
namespace {

constexpr Duration kMaxWait = Duration::Seconds(86400);
// Refilling in many small steps must not miss a whole token because of
// rounding.
constexpr double kRoundingTolerance = 1e-6;
constexpr double kMillisPerSecond = 1000.0;

}  // namespace

void TokenBucket::Refill(Time now) {
  // An event's time may be slightly before that of an earlier event.
  if (now <= refilled_) {
    return;
  }
  const auto millis = static_cast<double>((now - refilled_).millis());
  level_ = std::min(depth_, level_ + rate_ * millis / kMillisPerSecond);
  refilled_ = now;
}

void TokenBucket::SetRate(Time now, double rate, double depth) {
  Refill(now);
  rate_ = rate;
  depth_ = depth;
  level_ = std::min(level_, depth_);
}

bool TokenBucket::CanTake(Time now, double amount) {
  Refill(now);
  return level_ + kRoundingTolerance >= std::min(amount, depth_);
}

void TokenBucket::Return(double amount) {
  level_ = std::min(depth_, level_ + amount);
}

Duration TokenBucket::WaitFor(Time now, double amount) {
  if (CanTake(now, amount)) {
    return {};
  }
  const double missing = std::min(amount, depth_) - level_;
  const auto max_millis = static_cast<double>(kMaxWait.millis());
  const double millis = missing * kMillisPerSecond / std::max(rate_, 1e-9);
  return Duration::Millis(
      static_cast<std::int64_t>(std::ceil(std::min(millis, max_millis))));
}

}  // namespace gcw
