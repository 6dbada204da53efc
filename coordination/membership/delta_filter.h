#ifndef COORDINATION_MEMBERSHIP_DELTA_FILTER_H_
#define COORDINATION_MEMBERSHIP_DELTA_FILTER_H_

#include <cstdint>
#include <map>

#include "coordination/membership/membership_messages.h"

namespace gcw {

// Tells deltas that are heard for the first time from repetitions, in constant
// memory for each origin.
class DeltaFilter {
 public:
  // True the first time. A delta that comes more than `kWindow` sequence
  // numbers late counts as heard: soft state may lose a delta, but must not
  // take an old one for new.
  bool FirstTime(const DeltaRumor& rumor);
  void Forget(const NodeId& origin) { origins_.erase(origin); }

 private:
  static constexpr std::int64_t kWindow = 64;

  struct Origin {
    Incarnation incarnation;
    std::int64_t highest = 0;
    // Bit n stands for sequence number `highest` - n.
    std::uint64_t heard = 0;
  };

  std::map<NodeId, Origin> origins_;
};

}  // namespace gcw

#endif  // COORDINATION_MEMBERSHIP_DELTA_FILTER_H_
