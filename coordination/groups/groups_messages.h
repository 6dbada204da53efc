#ifndef COORDINATION_GROUPS_GROUPS_MESSAGES_H_
#define COORDINATION_GROUPS_GROUPS_MESSAGES_H_

#include <cstdint>
#include <vector>

#include "state/state.h"

namespace gcw {

// Whether an endpoint may get requests, as one prober sees it.
enum class Presence {
  // Every VM answered in this generation within the prober's freshness bound.
  kComplete,
  // A VM is missing, in another generation, or not ready.
  kIncomplete,
  // A planned stop: running requests go on, nothing new starts.
  kLeaving,
};

// What one prober says of one endpoint.
struct PresenceEntry {
  EndpointId endpoint;
  // Zero for plain services.
  Generation generation;
  Presence presence = Presence::kIncomplete;
  // The sender no longer probes the endpoint and withdraws what it said.
  bool withdrawn = false;
};

// Sent by each node to each node of its zone, and to a few of each other zone,
// once a period. Within a zone it carries what the sender's own probes found;
// to other zones, what the sender knows of its whole zone. It both spreads the
// sender's evidence as deltas and acknowledges the receiver's. It is correct
// under loss, delay, duplication and reordering: see docs/design/0004.
struct PresenceReport {
  // Tells reports of an earlier run of the sender apart.
  Incarnation sender;
  // Of the receiver, as last heard; `echo` and `acknowledged` refer to it.
  Incarnation receiver;
  // The sender's clock when it sent the report.
  Time stamp;
  // The newest `stamp` that the sender had from the receiver. The report, and
  // so the evidence in it, was made after that time on the receiver's clock,
  // however long the report was under way.
  Time echo;
  // How long before sending the oldest evidence in it was taken.
  Duration oldest_age;
  // Grows by one with each change of the sender's evidence.
  std::int64_t version = 0;
  // Changes after this version are in `entries`.
  std::int64_t base = 0;
  // The receiver's newest version that the sender has.
  std::int64_t acknowledged = 0;
  std::vector<PresenceEntry> entries;
};

}  // namespace gcw

#endif  // COORDINATION_GROUPS_GROUPS_MESSAGES_H_
