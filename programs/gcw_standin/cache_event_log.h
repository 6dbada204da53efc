#ifndef PROGRAMS_GCW_STANDIN_CACHE_EVENT_LOG_H_
#define PROGRAMS_GCW_STANDIN_CACHE_EVENT_LOG_H_

#include <cstddef>
#include <cstdint>
#include <deque>

#include "state/state.h"

namespace gcw {

// The cache events that an engine publishes: late, and with gaps where readers
// come too seldom or events are dropped on purpose.
class CacheEventLog {
 public:
  struct Settings {
    // Events kept.
    std::size_t capacity = 4096;
    // Most events in one answer.
    std::size_t batch_limit = 1024;
  };

  explicit CacheEventLog(Settings settings);

  void Append(Time now, CacheEventKind kind, std::uint64_t block);
  // The events after `after` that are older than `lag`.
  CacheEventBatch Read(Time now, std::int64_t after, Duration lag) const;
  // Forgets all events so far, which leaves a gap.
  void Drop();

 private:
  struct Entry {
    Time time;
    CacheEvent event;
  };

  Settings settings_;
  std::int64_t last_sequence_ = 0;
  std::deque<Entry> entries_;
};

}  // namespace gcw

#endif  // PROGRAMS_GCW_STANDIN_CACHE_EVENT_LOG_H_
