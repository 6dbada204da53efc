#include "programs/gcw_standin/standin_weight_store.h"

#include <algorithm>

namespace gcw {
namespace {

constexpr double kMillisPerSecond = 1000;

}  // namespace

StandinWeightStore::StandinWeightStore(std::int64_t bytes_per_second)
    : bytes_per_second_(bytes_per_second) {}

Time StandinWeightStore::Enqueue(Time now, std::int64_t bytes) {
  const double seconds =
      static_cast<double>(bytes) / static_cast<double>(bytes_per_second_);
  const auto millis = static_cast<std::int64_t>(seconds * kMillisPerSecond);
  idle_at_ = std::max(idle_at_, now) + Duration::Millis(millis);
  return idle_at_;
}

WeightStoreStatus StandinWeightStore::Status(Time now) const {
  const auto wait =
      static_cast<double>(std::max(idle_at_ - now, Duration()).millis());
  const double bytes =
      wait / kMillisPerSecond * static_cast<double>(bytes_per_second_);
  return {.bytes_per_second = bytes_per_second_,
          .queue_bytes = static_cast<std::int64_t>(bytes)};
}

}  // namespace gcw
