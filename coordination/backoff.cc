#include "coordination/backoff.h"

#include <algorithm>

namespace gcw {

Duration Backoff::Next(const Random& random) {
  // Large enough to reach any maximum and small enough not to overflow.
  constexpr int kMaxDoublings = 20;
  const Duration ceiling = std::min(
      settings_.maximum, settings_.initial * (std::int64_t{1} << std::min(
                                                  failures_, kMaxDoublings)));
  ++failures_;
  // The delay is never zero, so that a failing call is not repeated in the same
  // tick.
  const std::int64_t min_delay =
      std::max<std::int64_t>(1, ceiling.millis() / 4);
  const std::int64_t spread =
      std::max<std::int64_t>(1, ceiling.millis() - min_delay);
  return Duration::Millis(min_delay +
                          static_cast<std::int64_t>(DrawBelow(
                              random, static_cast<std::uint64_t>(spread))));
}

}  // namespace gcw
