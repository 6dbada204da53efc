#ifndef COORDINATION_LIMITS_REPORT_SCHEDULE_H_
#define COORDINATION_LIMITS_REPORT_SCHEDULE_H_

#include <algorithm>

#include "core/core.h"

namespace gcw {

// When a node's periodic reports are due. All shards report together, so that
// one batch a period goes to each receiver, however many shards it owns.
class ReportSchedule {
 public:
  // True once a period. Never moves by more than one period, so that a clock
  // that was far ahead once does not silence the node.
  bool TakeDue(Time now, Duration period) {
    next_ = std::min(next_, now + period);
    if (now < next_) {
      return false;
    }
    next_ = std::max(next_ + period, now);
    return true;
  }

 private:
  Time next_;
};

}  // namespace gcw

#endif  // COORDINATION_LIMITS_REPORT_SCHEDULE_H_
