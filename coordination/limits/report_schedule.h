#ifndef COORDINATION_LIMITS_REPORT_SCHEDULE_H_
#define COORDINATION_LIMITS_REPORT_SCHEDULE_H_

#include <algorithm>

#include "core/core.h"

namespace gcw {

// Timer of a node's periodic reports. All shards report at the same time, so
// that each receiver gets one batch per period, however many shards it owns.
class ReportSchedule {
 public:
  // Returns true once per period. The next time is at most one period ahead, so
  // that a clock that was once far ahead does not silence the node.
  bool TakeDue(Time now, Duration period) {
    next_due_ = std::min(next_due_, now + period);
    if (now < next_due_) {
      return false;
    }
    next_due_ = std::max(next_due_ + period, now);
    return true;
  }

 private:
  Time next_due_;
};

}  // namespace gcw

#endif  // COORDINATION_LIMITS_REPORT_SCHEDULE_H_
