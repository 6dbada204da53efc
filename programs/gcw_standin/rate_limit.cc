#include "programs/gcw_standin/rate_limit.h"

#include <algorithm>
#include <cmath>

namespace gcw {
namespace {

constexpr double kBurstSeconds = 0.25;
constexpr double kMillisPerSecond = 1000;

}  // namespace

RateLimit::RateLimit(double per_second)
    : per_second_(per_second),
      capacity_(std::max(1.0, per_second * kBurstSeconds)),
      tokens_(capacity_) {}

bool RateLimit::HasToken(Time now) {
  Refill(now);
  return per_second_ == 0 || tokens_ >= 1;
}

void RateLimit::TakeToken() {
  tokens_ -= 1;
}

Duration RateLimit::TimeUntilToken() const {
  if (per_second_ == 0 || tokens_ >= 1) {
    return {};
  }
  const double millis = (1 - tokens_) / per_second_ * kMillisPerSecond;
  return Duration::Millis(static_cast<std::int64_t>(std::ceil(millis)));
}

void RateLimit::Refill(Time now) {
  const auto elapsed = static_cast<double>((now - refilled_at_).millis());
  refilled_at_ = now;
  tokens_ =
      std::min(capacity_, tokens_ + elapsed * per_second_ / kMillisPerSecond);
}

}  // namespace gcw
