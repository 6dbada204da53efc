#ifndef COORDINATION_GROUPS_GROUPS_MESSAGES_H_
#define COORDINATION_GROUPS_GROUPS_MESSAGES_H_

#include <cstdint>
#include <vector>

#include "state/state.h"

namespace gcw {

// Whether an endpoint may get requests, as seen by one prober.
enum class Presence {
  // Every VM answered in this generation within the prober's freshness bound.
  kComplete,
  // A VM is missing, in another generation, or not ready.
  kIncomplete,
  // A planned stop: running requests continue, new ones do not start.
  kLeaving,
};

// One prober's finding about one endpoint.
struct PresenceEntry {
  EndpointId endpoint;
  // Zero for a plain service.
  Generation generation;
  Presence presence = Presence::kIncomplete;
  // The sender no longer probes the endpoint and retracts its finding.
  bool withdrawn = false;
};

// Each node sends a report to every node of its zone, and to a few nodes of
// each other zone, once per report interval. Within the zone a report carries
// the findings of the sender's own probes; to other zones, what the sender
// knows of its whole zone. It sends the sender's evidence as deltas and
// acknowledges the receiver's. It is correct under loss, delay, duplication and
// reordering: see docs/design/0004.
struct PresenceReport {
  // Distinguishes reports of different runs of the sender.
  Incarnation sender;
  // The receiver's incarnation as last heard; `echo` and `acknowledged` refer
  // to it.
  Incarnation receiver;
  // The sender's clock when it sent the report.
  Time stamp;
  // The newest `stamp` that the sender has received from the receiver. The
  // report, and therefore the evidence in it, was made after that time on the
  // receiver's clock, however long the report was in transit.
  Time echo;
  // Age of the oldest evidence in the report when it was sent.
  Duration oldest_age;
  // Increases by one with each change of the sender's evidence.
  std::int64_t version = 0;
  // `entries` holds the changes after this version.
  std::int64_t base = 0;
  // The newest version of the receiver's evidence that the sender has.
  std::int64_t acknowledged = 0;
  std::vector<PresenceEntry> entries;
};

}  // namespace gcw

#endif  // COORDINATION_GROUPS_GROUPS_MESSAGES_H_
