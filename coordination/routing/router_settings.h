#ifndef COORDINATION_ROUTING_ROUTER_SETTINGS_H_
#define COORDINATION_ROUTING_ROUTER_SETTINGS_H_

#include <cstdint>
#include <vector>

#include "coordination/routing/failure_backoff.h"
#include "coordination/routing/straggler_detector.h"
#include "state/state.h"

namespace gcw {

// How far another zone is.
struct ZoneDistance {
  ZoneId zone;
  // One way.
  double millis = 0;
};

struct RouterSettings {
  ZoneId zone;
  std::vector<ZoneDistance> distances;
  // One way, for zones that `distances` does not name.
  double unknown_distance_millis = 10;

  // Prompt tokens that an engine computes beside a full batch.
  double prefill_tokens_per_second = 9000;
  // A new request waits for the step under way and then takes part in the next.
  double step_millis = 35;
  std::int64_t tokens_per_block = 16;
  // Time a request is served, until finished ones show it.
  double initial_service_millis = 8000;

  // What a full batch adds to an endpoint's cost; it grows with the square of
  // occupancy and keeps load even while no endpoint has a queue yet.
  double occupancy_millis = 25;
  // An endpoint is drawn when its cost is at most this far above the least:
  // an absolute part plus a share of the least.
  double near_best_millis = 2.5;
  double near_best_share = 0.05;
  // What an endpoint of another zone costs beside the way there. Requests that
  // stay in their zone lose no cached prefixes when another zone is lost.
  double other_zone_millis = 10;
  // How far other nodes are taken to do what this node did since a report: 1
  // the same, 0 they spread their requests evenly.
  double peer_likeness = 1;
  // Share of a doubtful prefix that is believed.
  double doubtful_weight = 1;
  // Reports older than this count as none.
  Duration report_timeout = Duration::Seconds(10);

  FailureBackoffSettings backoff;
  PrefixIndexSettings prefix_index;
  StragglerSettings stragglers;
};

}  // namespace gcw

#endif  // COORDINATION_ROUTING_ROUTER_SETTINGS_H_
