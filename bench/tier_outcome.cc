#include "bench/tier_outcome.h"

#include <algorithm>

namespace gcw::bench {
namespace {

constexpr std::size_t kGapBuckets = 5000;
constexpr Micros kGapBucket = 100;

}  // namespace

void TierOutcome::AddGap(Micros gap) {
  token_gaps.resize(kGapBuckets);
  const auto bucket = static_cast<std::size_t>(gap / kGapBucket);
  ++token_gaps[std::min(bucket, kGapBuckets - 1)];
}

double TierOutcome::GapQuantile(double q) const {
  std::int64_t total = 0;
  for (const std::int64_t count : token_gaps) {
    total += count;
  }
  std::int64_t below = 0;
  for (std::size_t i = 0; i < token_gaps.size(); ++i) {
    below += token_gaps[i];
    if (static_cast<double>(below) >= q * static_cast<double>(total)) {
      return static_cast<double>(i) * kGapBucket / 1000.0;
    }
  }
  return 0;
}

double TierOutcome::TtftQuantile(double q) const {
  if (ttft_millis.empty()) {
    return 0;
  }
  std::vector<double> sorted = ttft_millis;
  const auto place =
      static_cast<std::ptrdiff_t>(q * static_cast<double>(sorted.size() - 1));
  std::nth_element(sorted.begin(), sorted.begin() + place, sorted.end());
  return sorted[static_cast<std::size_t>(place)];
}

}  // namespace gcw::bench
