#ifndef STATE_CACHE_EVENTS_H_
#define STATE_CACHE_EVENTS_H_

#include <cstdint>
#include <vector>

#include "core/core.h"
#include "state/prefix_block.h"

namespace gcw {

enum class CacheEventKind { kStored, kEvicted };

// One change of a model engine's prefix cache.
struct CacheEvent {
  std::int64_t sequence = 0;
  CacheEventKind kind = CacheEventKind::kStored;
  PrefixBlock block = 0;
};

// An engine's answer to `GET /cache_events`; see docs/PLATFORM.md.
struct CacheEventBatch {
  EndpointId endpoint;
  Generation generation;
  // Sequence number of the first event that the engine could still give.
  std::int64_t first = 0;
  // Sequence number that the engine will give next.
  std::int64_t next = 0;
  std::vector<CacheEvent> events;
};

}  // namespace gcw

#endif  // STATE_CACHE_EVENTS_H_
