#ifndef COORDINATION_ROUTING_ROUTE_H_
#define COORDINATION_ROUTING_ROUTE_H_

#include <cstdint>
#include <memory>

#include "state/state.h"

namespace gcw {

// Identifies a dispatched attempt to the router. Zero identifies none.
using DispatchTicket = StrongNumber<struct DispatchTicketTag>;

// The endpoint chosen for an attempt.
struct Route {
  std::shared_ptr<const Endpoint> endpoint;
  EndpointSlot slot;
  // Prompt tokens that the endpoint is expected to compute.
  TokenCount uncached_tokens;
  // Expected time from dispatch to first byte.
  Duration expected_first_byte;
  // The endpoint is ejected, and this attempt tests whether it has recovered.
  bool is_probe = false;
};

// The router's state of one endpoint, for the status page.
struct EndpointStatus {
  EndpointId id;
  Generation generation;
  ZoneId zone;
  // Requests of this node that are in flight at the endpoint.
  std::int64_t own_in_flight = 0;
  // Expected wait of a new request, without the time to compute its own prompt.
  Duration expected_wait;
  bool has_report = false;
  Time report_taken_at;
  bool is_ejected = false;
  // The endpoint is excluded until this time because of failures.
  Time backing_off_until;
};

}  // namespace gcw

#endif  // COORDINATION_ROUTING_ROUTE_H_
