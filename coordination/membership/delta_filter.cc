#include "coordination/membership/delta_filter.h"

namespace gcw {

bool DeltaFilter::RecordIfNew(const DeltaRumor& rumor) {
  Origin& origin = origins_[rumor.origin];
  const Incarnation incarnation = rumor.origin_version.incarnation;
  if (incarnation < origin.incarnation) {
    return false;
  }
  if (incarnation > origin.incarnation || origin.received == 0) {
    origin = {incarnation, rumor.sequence, 1};
    return true;
  }
  if (rumor.sequence > origin.highest) {
    const std::int64_t gap = rumor.sequence - origin.highest;
    origin.received = gap >= kWindow ? 0 : origin.received << gap;
    origin.received |= 1;
    origin.highest = rumor.sequence;
    return true;
  }
  const std::int64_t age = origin.highest - rumor.sequence;
  if (age >= kWindow) {
    return false;
  }
  const std::uint64_t bit = std::uint64_t{1} << age;
  const bool first = (origin.received & bit) == 0;
  origin.received |= bit;
  return first;
}

}  // namespace gcw
