#ifndef BENCH_TIER_OUTCOME_H_
#define BENCH_TIER_OUTCOME_H_

#include <cstdint>
#include <vector>

#include "bench/event_queue.h"

namespace gcw::bench {

// Results of one tier or team after the warm-up.
struct TierOutcome {
  std::vector<double> ttft_millis;
  // Histogram of the time between two tokens, in buckets of 0.1 ms.
  std::vector<std::int64_t> token_gaps;
  std::int64_t offered = 0;
  std::int64_t answered = 0;
  std::int64_t refused = 0;
  std::int64_t preempted = 0;
  std::int64_t failed = 0;
  std::int64_t tokens = 0;
  // Tokens generated for requests that were cancelled.
  std::int64_t wasted_tokens = 0;

  void AddGap(Micros gap);
  double GapQuantile(double q) const;
  double TtftQuantile(double q) const;
};

}  // namespace gcw::bench

#endif  // BENCH_TIER_OUTCOME_H_
