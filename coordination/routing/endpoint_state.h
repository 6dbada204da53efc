#ifndef COORDINATION_ROUTING_ENDPOINT_STATE_H_
#define COORDINATION_ROUTING_ENDPOINT_STATE_H_

#include <cstdint>
#include <memory>

#include "coordination/routing/endpoint_load.h"
#include "coordination/routing/failure_backoff.h"
#include "state/state.h"

namespace gcw {

class EndpointPool;

// The state that a node keeps for one endpoint that it routes to.
struct EndpointState {
  // Null while the slot is free.
  std::shared_ptr<const Endpoint> endpoint;
  EndpointPool* pool = nullptr;
  // Distinguishes this use of the slot from earlier ones.
  std::int64_t slot_serial = 0;
  // One-way network delay.
  double distance_millis = 0;
  EndpointLoad load;
  FailureBackoff backoff{FailureBackoffSettings()};
  // `EndpointLoad::Overdue` at the last tick.
  double overdue_millis = 0;
};

}  // namespace gcw

#endif  // COORDINATION_ROUTING_ENDPOINT_STATE_H_
