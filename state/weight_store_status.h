#ifndef STATE_WEIGHT_STORE_STATUS_H_
#define STATE_WEIGHT_STORE_STATUS_H_

#include <cstdint>

namespace gcw {

// Load of the weight store in bytes.
struct WeightStoreStatus {
  std::int64_t bytes_per_second = 0;
  std::int64_t queue_bytes = 0;

  friend bool operator==(const WeightStoreStatus&,
                         const WeightStoreStatus&) = default;
};

}  // namespace gcw

#endif  // STATE_WEIGHT_STORE_STATUS_H_
