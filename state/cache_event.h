#ifndef STATE_CACHE_EVENT_H_
#define STATE_CACHE_EVENT_H_

#include <cstdint>
#include <vector>

namespace gcw {

enum class CacheEventKind { kStored, kEvicted };

// A prefix block that entered or left a model engine's cache.
struct CacheEvent {
  // Counts from 1 in each run of the engine's process.
  std::int64_t sequence = 0;
  CacheEventKind kind = CacheEventKind::kStored;
  // Hash of the prompt up to the block's end; see docs/PLATFORM.md.
  std::uint64_t block = 0;

  friend bool operator==(const CacheEvent&, const CacheEvent&) = default;
};

// The events after the sequence number that was asked for. Where `first` is not
// the number after it, the events between are lost.
struct CacheEventBatch {
  std::int64_t first = 1;
  // The number of the first event that is not in the batch. Not above the asked
  // number where the engine has started anew since.
  std::int64_t next = 1;
  std::vector<CacheEvent> events;

  friend bool operator==(const CacheEventBatch&,
                         const CacheEventBatch&) = default;
};

}  // namespace gcw

#endif  // STATE_CACHE_EVENT_H_
