#ifndef PROGRAMS_GCW_STANDIN_STANDIN_WEIGHT_STORE_H_
#define PROGRAMS_GCW_STANDIN_STANDIN_WEIGHT_STORE_H_

#include <cstdint>

#include "state/state.h"

namespace gcw {

// The queue of the weight store, which serves one fetch at a time at a fixed
// rate.
class StandinWeightStore {
 public:
  // `bytes_per_second` must be positive.
  explicit StandinWeightStore(std::int64_t bytes_per_second);

  // Returns the time at which a fetch that arrives now is complete.
  Time Enqueue(Time now, std::int64_t bytes);
  WeightStoreStatus Status(Time now) const;

 private:
  std::int64_t bytes_per_second_;
  Time idle_at_;
};

}  // namespace gcw

#endif  // PROGRAMS_GCW_STANDIN_STANDIN_WEIGHT_STORE_H_
