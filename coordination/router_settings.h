#ifndef COORDINATION_ROUTER_SETTINGS_H_
#define COORDINATION_ROUTER_SETTINGS_H_

#include <cstdint>
#include <vector>

#include "coordination/failure_backoff.h"
#include "coordination/straggler_detector.h"
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
  double occupancy_millis = 100;
  // An endpoint is drawn when its cost is at most this far above the least:
  // an absolute part plus a share of the least.
  double near_best_millis = 5;
  double near_best_share = 0.1;
  // Most that a node's fixed liking adds to an endpoint's cost.
  double lean_millis = 0;
  // How far other nodes are taken to do what this node did since a report: 1
  // the same, 0 they spread their requests evenly.
  double peer_likeness = 0.3;
  // Share of a doubtful prefix that is believed.
  double doubtful_weight = 0.5;
  // Reports older than this count as none.
  Duration report_timeout = Duration::Seconds(10);

  FailureBackoffSettings backoff;
  PrefixIndexSettings prefix_index;
  StragglerSettings stragglers;
};

}  // namespace gcw

#endif  // COORDINATION_ROUTER_SETTINGS_H_
