#ifndef PROGRAMS_GCW_STANDIN_CACHE_EVENT_LOG_H_
#define PROGRAMS_GCW_STANDIN_CACHE_EVENT_LOG_H_

#include <cstddef>
#include <cstdint>
#include <deque>

#include "state/state.h"

namespace gcw {

// The cache events that an engine publishes. Readers see them with a lag, and
// with gaps if they read too seldom or if a fault drops events.
class CacheEventLog {
 public:
  struct Settings {
    // Number of events kept.
    std::size_t capacity = 4096;
    // Maximum number of events in one answer.
    std::size_t batch_limit = 1024;
  };

  explicit CacheEventLog(Settings settings);

  void Append(Time now, CacheEventKind kind, std::uint64_t block);
  // Returns the events with a sequence number above `after` that are at least
  // `lag` old.
  CacheEventBatch Read(Time now, std::int64_t after, Duration lag) const;
  // Deletes all events, which leaves a gap in the sequence.
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
