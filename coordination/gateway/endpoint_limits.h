#ifndef COORDINATION_GATEWAY_ENDPOINT_LIMITS_H_
#define COORDINATION_GATEWAY_ENDPOINT_LIMITS_H_

#include <compare>
#include <cstddef>
#include <map>

#include "coordination/gateway/endpoint_report.h"
#include "core/core.h"

namespace gcw {

// One run of an endpoint. What it says of itself ends with the run.
struct EndpointRun {
  VmId vm;
  Incarnation incarnation;

  friend auto operator<=>(const EndpointRun&, const EndpointRun&) = default;
};

// The limits that endpoints name for the requests of all nodes together.
class EndpointLimits {
 public:
  explicit EndpointLimits(EventSink events);

  // Handles what an endpoint says in the answer to an attempt that was sent at
  // `sent`.
  void OnReport(Time now,
                const EndpointRun& endpoint,
                Time sent,
                const EndpointReport& report);

  // Number of endpoints whose limit is in force.
  std::size_t size() const { return limits_.size(); }

 private:
  struct Limit {
    Incarnation incarnation;
    RequestRate rate;
    // When the endpoint last named the limit.
    Time heard;
  };

  void SetLimit(Time now, const EndpointRun& endpoint, RequestRate rate);
  void LiftLimit(Time now, const EndpointRun& endpoint);

  EventSink events_;
  std::map<VmId, Limit> limits_;
};

}  // namespace gcw

#endif  // COORDINATION_GATEWAY_ENDPOINT_LIMITS_H_
