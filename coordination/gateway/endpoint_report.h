#ifndef COORDINATION_GATEWAY_ENDPOINT_REPORT_H_
#define COORDINATION_GATEWAY_ENDPOINT_REPORT_H_

#include <cstdint>
#include <optional>

#include "core/core.h"

namespace gcw {

// Load that an endpoint reports in an answer.
struct LoadReading {
  std::int64_t running = 0;
  std::int64_t waiting = 0;
  std::int64_t slots = 0;
};

// What an endpoint says of itself in the head of an answer.
struct EndpointReport {
  // The answer carries the endpoint's signature. Only then does a missing
  // statement mean that the endpoint no longer makes it.
  bool is_signed = false;
  std::optional<LoadReading> load;
  // Requests that the endpoint accepts from all nodes together, for as long as
  // its answers say so.
  std::optional<RequestRate> rate_limit;
  // The answer names a limit that cannot be read, so the last one stands.
  bool has_unreadable_limit = false;
  // The endpoint refused the request and accepts none of this node for so long.
  std::optional<Duration> cooldown;
  // The endpoint is about to stop.
  bool is_leaving = false;
};

// One run of an endpoint. What it says of itself ends with the run.
struct EndpointRun {
  VmId vm;
  Incarnation incarnation;
  ZoneId zone;
};

}  // namespace gcw

#endif  // COORDINATION_GATEWAY_ENDPOINT_REPORT_H_
