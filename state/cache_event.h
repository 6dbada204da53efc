#ifndef STATE_CACHE_EVENT_H_
#define STATE_CACHE_EVENT_H_

#include <cstdint>
#include <vector>

#include "core/core.h"
#include "state/prefix_block.h"

namespace gcw {

enum class CacheEventKind { kStored, kEvicted };

// A prefix block that entered or left a model engine's cache.
struct CacheEvent {
  // Counted from 1 in each run of the engine's process.
  std::int64_t sequence = 0;
  CacheEventKind kind = CacheEventKind::kStored;
  // Hash of the prompt up to the block's end; see docs/PLATFORM.md.
  PrefixBlock block = 0;

  friend bool operator==(const CacheEvent&, const CacheEvent&) = default;
};

// Cache events after a requested sequence number. If `first` is not the number
// that follows the requested one, the events in between are lost.
struct CacheEventBatch {
  std::int64_t first = 1;
  // Sequence number of the first event after the batch. It is at most the
  // requested number if the engine has restarted since.
  std::int64_t next = 1;
  std::vector<CacheEvent> events;

  friend bool operator==(const CacheEventBatch&,
                         const CacheEventBatch&) = default;
};

}  // namespace gcw

#endif  // STATE_CACHE_EVENT_H_
