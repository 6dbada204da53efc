#ifndef COORDINATION_MEMBERSHIP_DELTA_FILTER_H_
#define COORDINATION_MEMBERSHIP_DELTA_FILTER_H_

#include <cstdint>
#include <map>

#include "coordination/membership/membership_messages.h"

namespace gcw {

// Detects repeated deltas, in constant memory for each origin.
class DeltaFilter {
 public:
  // Records the delta and returns true if it is new. A delta that arrives
  // `kWindow` or more sequence numbers late counts as a repetition: losing a
  // delta of soft state is acceptable, but applying an old one as new is not.
  bool RecordIfNew(const DeltaRumor& rumor);
  void Forget(const NodeId& origin) { origins_.erase(origin); }

 private:
  static constexpr std::int64_t kWindow = 64;

  struct Origin {
    Incarnation incarnation;
    std::int64_t highest = 0;
    // Bit n is set if sequence number `highest` - n was received.
    std::uint64_t received = 0;
  };

  std::map<NodeId, Origin> origins_;
};

}  // namespace gcw

#endif  // COORDINATION_MEMBERSHIP_DELTA_FILTER_H_
