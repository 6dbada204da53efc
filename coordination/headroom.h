#ifndef COORDINATION_HEADROOM_H_
#define COORDINATION_HEADROOM_H_

#include <cstdint>
#include <vector>

#include "state/state.h"

namespace gcw {

// What one endpoint of a model can take, from its newest load report and what
// this node sent since.
struct EndpointHeadroom {
  EndpointId endpoint;
  // Of the batch.
  std::int64_t batch_limit = 0;
  std::int64_t running = 0;
  std::int64_t queued = 0;
  // KV cache in use, 0 to 1.
  double cache_share = 0;
};

// Room for one model or plain service as this node sees it.
struct Headroom {
  Time taken_at;
  // How many nodes send to the model; each takes its part of the free room, so
  // that nodes with the same report do not fill it several times over.
  std::int64_t sharing_nodes = 1;
  std::vector<EndpointHeadroom> endpoints;
};

}  // namespace gcw

#endif  // COORDINATION_HEADROOM_H_
