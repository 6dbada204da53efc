#ifndef COORDINATION_ROUTING_ROUTER_SETTINGS_H_
#define COORDINATION_ROUTING_ROUTER_SETTINGS_H_

#include <cstdint>
#include <vector>

#include "coordination/routing/failure_backoff.h"
#include "coordination/routing/straggler_detector.h"
#include "state/state.h"

namespace gcw {

// The network delay to another zone.
struct ZoneDistance {
  ZoneId zone;
  // One-way delay.
  double millis = 0;
};

struct RouterSettings {
  ZoneId zone;
  std::vector<ZoneDistance> distances;
  // One-way delay to a zone that `distances` does not contain.
  double default_distance_millis = 10;

  // Rate at which an engine computes prompt tokens while its batch is full.
  double prefill_tokens_per_second = 9000;
  // Duration of one engine step. A new request waits for the current step to
  // end and joins the next one.
  double step_millis = 35;
  std::int64_t tokens_per_block = 16;
  // Initial value of the mean service time, which finished requests update.
  double initial_service_millis = 8000;

  // Cost that a full batch adds to an endpoint. The cost grows with the square
  // of the occupancy and balances load before any endpoint has a queue.
  double occupancy_millis = 25;
  // An endpoint may be drawn if its cost exceeds the minimum by at most an
  // absolute amount plus a share of the minimum.
  double near_best_millis = 2.5;
  double near_best_share = 0.05;
  // Cost of an endpoint of another zone in addition to the network delay.
  // Requests that stay in their zone lose no cached prefixes if another zone is
  // lost.
  double other_zone_millis = 10;
  // How closely other nodes are assumed to follow this node's choices since a
  // report: 1 if they send what this node sent, 0 if they spread their requests
  // evenly.
  double peer_similarity = 1;
  // Weight of an unconfirmed prefix match; a confirmed match has weight 1.
  double unconfirmed_weight = 1;
  // A report older than this is ignored.
  Duration report_timeout = Duration::Seconds(10);

  FailureBackoffSettings backoff;
  PrefixIndexSettings prefix_index;
  StragglerSettings stragglers;
};

}  // namespace gcw

#endif  // COORDINATION_ROUTING_ROUTER_SETTINGS_H_
