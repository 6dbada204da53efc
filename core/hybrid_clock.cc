#include "core/hybrid_clock.h"

#include <algorithm>

namespace gcw {

HybridClock::HybridClock(Duration max_ahead) : max_ahead_(max_ahead) {}

HybridTime HybridClock::Tick(Time now) {
  if (now > last_.physical) {
    last_ = HybridTime{now, 0};
  } else {
    ++last_.logical;
  }
  return last_;
}

Result<HybridTime, HybridTimeError> HybridClock::Observe(
    Time now,
    const HybridTime& remote) {
  const Duration ahead = remote.physical - now;
  if (ahead > max_ahead_) {
    return HybridTimeError{HybridTimeErrorKind::kTooFarAhead, ahead};
  }
  if (remote.logical < 0 || remote.logical > kMaxLogical) {
    return HybridTimeError{HybridTimeErrorKind::kLogicalOutOfRange, ahead};
  }
  last_ = std::max(last_, remote);
  return Tick(now);
}

}  // namespace gcw
