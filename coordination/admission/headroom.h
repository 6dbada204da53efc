#ifndef COORDINATION_ADMISSION_HEADROOM_H_
#define COORDINATION_ADMISSION_HEADROOM_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "state/state.h"

namespace gcw {

// What one endpoint of a model or service runs, by its newest load report.
struct EndpointHeadroom {
  EndpointId endpoint;
  // Of the batch.
  std::int64_t batch_limit = 0;
  std::int64_t running = 0;
  std::int64_t queued = 0;
  // How many of these are paid, where the engine tells them apart. Without it
  // everything that is not this node's own trial work counts as paid: safe for
  // paid work, but trial work of other nodes then drives trial work out.
  std::optional<std::int64_t> paid;
  // KV cache held by running requests, 0 to 1.
  double cache_share = 0;
};

// Room for one model or plain service as this node sees it.
struct Headroom {
  // Of the oldest report.
  Time taken_at;
  // How many nodes send to the model; each takes its part of the free room, so
  // that nodes with the same report do not fill it several times over.
  std::int64_t sharing_nodes = 1;
  // Endpoints that are routable.
  std::vector<EndpointHeadroom> endpoints;
};

}  // namespace gcw

#endif  // COORDINATION_ADMISSION_HEADROOM_H_
