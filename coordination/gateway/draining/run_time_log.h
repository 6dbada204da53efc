#ifndef COORDINATION_GATEWAY_DRAINING_RUN_TIME_LOG_H_
#define COORDINATION_GATEWAY_DRAINING_RUN_TIME_LOG_H_

#include <map>
#include <optional>
#include <utility>

#include "core/core.h"

namespace gcw {

struct RunTimeLogSettings {
  // The longest time of a whole period counts until the end of the next one.
  Duration period = Duration::Seconds(30);
};

// Remembers the longest time that a service's requests have taken of late, so
// that a node that stops can tell which ones it can still finish.
class RunTimeLog {
 public:
  explicit RunTimeLog(RunTimeLogSettings settings) : settings_(settings) {}

  // `model` is empty for a plain service. `time` is from the request's arrival
  // to its whole answer.
  void OnFinished(Time now,
                  const ServiceId& service,
                  const ModelId& model,
                  Duration time);
  // Absent if no request has finished of late.
  std::optional<Duration> Longest(const ServiceId& service,
                                  const ModelId& model) const;

 private:
  using Times = std::map<std::pair<ServiceId, ModelId>, Duration>;

  RunTimeLogSettings settings_;
  Time period_end_;
  Times current_;
  Times previous_;
};

}  // namespace gcw

#endif  // COORDINATION_GATEWAY_DRAINING_RUN_TIME_LOG_H_
