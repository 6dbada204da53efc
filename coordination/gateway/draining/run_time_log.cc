#include "coordination/gateway/draining/run_time_log.h"

#include <algorithm>

namespace gcw {

void RunTimeLog::OnFinished(Time now,
                            const ServiceId& service,
                            const ModelId& model,
                            Duration time) {
  if (now >= period_end_) {
    previous_ = std::exchange(current_, {});
    period_end_ = now + settings_.period;
  }
  Duration& longest = current_[{service, model}];
  longest = std::max(longest, time);
}

std::optional<Duration> RunTimeLog::Longest(const ServiceId& service,
                                            const ModelId& model) const {
  std::optional<Duration> longest;
  for (const Times* times : {&current_, &previous_}) {
    const auto found = times->find({service, model});
    if (found != times->end()) {
      longest = std::max(longest.value_or(Duration()), found->second);
    }
  }
  return longest;
}

}  // namespace gcw
