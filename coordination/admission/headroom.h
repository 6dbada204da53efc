#ifndef COORDINATION_ADMISSION_HEADROOM_H_
#define COORDINATION_ADMISSION_HEADROOM_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "state/state.h"

namespace gcw {

// Load of one endpoint of a model or service, from its newest load report.
struct EndpointHeadroom {
  EndpointId endpoint;
  // Maximum number of requests in the endpoint's batch.
  std::int64_t batch_limit = 0;
  std::int64_t running = 0;
  std::int64_t queued = 0;
  // Running and queued requests that are paid, if the engine reports them. If
  // unset, all of them count as paid: safe for paid work, but running trial
  // work then displaces trial work.
  std::optional<std::int64_t> paid;
  // Fraction of the KV cache that running requests use, 0 to 1.
  double cache_share = 0;
};

// Load reports of one model or plain service as this node knows them.
struct Headroom {
  // Time of the oldest report.
  Time taken_at;
  // Number of nodes that send to the model. Each uses its part of the free
  // room, so that nodes with the same reports do not fill it several times.
  std::int64_t sharing_nodes = 1;
  // The routable endpoints.
  std::vector<EndpointHeadroom> endpoints;
};

}  // namespace gcw

#endif  // COORDINATION_ADMISSION_HEADROOM_H_
