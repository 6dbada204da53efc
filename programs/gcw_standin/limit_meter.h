#ifndef PROGRAMS_GCW_STANDIN_LIMIT_METER_H_
#define PROGRAMS_GCW_STANDIN_LIMIT_METER_H_

#include <cstdint>
#include <deque>
#include <optional>

#include "core/core.h"

namespace gcw {

// Checks the requests of an endpoint against the limit that it names, by the
// users' rule: in any four seconds it gets at most one and a half times what
// the limit allows, and five requests.
class LimitMeter {
 public:
  // The endpoint names this limit from now on, or none.
  void SetLimit(Time now, std::optional<RequestRate> limit);
  void OnRequest(Time now);

  const std::optional<RequestRate>& limit() const { return limit_; }
  // Number of requests that the rule was applied to.
  std::int64_t checked() const { return checked_; }
  // Number of these that were too many.
  std::int64_t excess() const { return excess_; }

 private:
  std::optional<RequestRate> limit_;
  Time named_;
  std::deque<Time> requests_;
  std::int64_t checked_ = 0;
  std::int64_t excess_ = 0;
};

}  // namespace gcw

#endif  // PROGRAMS_GCW_STANDIN_LIMIT_METER_H_
