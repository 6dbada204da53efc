#ifndef PROGRAMS_GCW_STANDIN_STANDIN_WEIGHTS_H_
#define PROGRAMS_GCW_STANDIN_STANDIN_WEIGHTS_H_

#include <cstdint>

#include "state/state.h"

namespace gcw {

// The weight store's queue: fetches take their turn at one rate.
class StandinWeights {
 public:
  // `bytes_per_second` must be positive.
  explicit StandinWeights(std::int64_t bytes_per_second);

  // When a fetch that arrives now is through.
  Time Enqueue(Time now, std::int64_t bytes);
  WeightStoreStatus Status(Time now) const;

 private:
  std::int64_t bytes_per_second_;
  Time free_at_;
};

}  // namespace gcw

#endif  // PROGRAMS_GCW_STANDIN_STANDIN_WEIGHTS_H_
