#ifndef COORDINATION_ROUTING_ROUTE_H_
#define COORDINATION_ROUTING_ROUTE_H_

#include <cstdint>
#include <memory>

#include "state/state.h"

namespace gcw {

// Names a dispatched attempt to the router. Zero names none.
using DispatchTicket = StrongNumber<struct DispatchTicketTag>;

// Where to send an attempt.
struct Route {
  std::shared_ptr<const Endpoint> endpoint;
  EndpointSlot slot;
  // Prompt tokens that the endpoint is expected to compute.
  TokenCount uncached_tokens;
  // Expected time from dispatch to first byte.
  Duration expected_first_byte;
  // The endpoint is ejected and this attempt tells whether it recovered.
  bool is_probe = false;
};

// An endpoint as the router sees it, for the status page.
struct EndpointView {
  EndpointId id;
  Generation generation;
  ZoneId zone;
  // Requests that this node has there.
  std::int64_t own_in_flight = 0;
  // Expected wait of a request that comes now, without its own prompt.
  Duration expected_wait;
  bool has_report = false;
  Time report_taken_at;
  bool is_ejected = false;
  // Left out until then, after failures.
  Time backing_off_until;
};

}  // namespace gcw

#endif  // COORDINATION_ROUTING_ROUTE_H_
