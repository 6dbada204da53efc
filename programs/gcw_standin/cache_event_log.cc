#include "programs/gcw_standin/cache_event_log.h"

namespace gcw {

CacheEventLog::CacheEventLog(Settings settings) : settings_(settings) {}

void CacheEventLog::Append(Time now, CacheEventKind kind, std::uint64_t block) {
  entries_.push_back(
      {now, {.sequence = ++last_sequence_, .kind = kind, .block = block}});
  if (entries_.size() > settings_.capacity) {
    entries_.pop_front();
  }
}

CacheEventBatch CacheEventLog::Read(Time now,
                                    std::int64_t after,
                                    Duration lag) const {
  if (after > last_sequence_) {
    // The reader's sequence number comes from an earlier run of this process.
    return {};
  }
  CacheEventBatch batch{.first = after + 1, .next = after + 1, .events = {}};
  for (const Entry& entry : entries_) {
    if (entry.event.sequence <= after) {
      continue;
    }
    if (entry.time > now - lag ||
        batch.events.size() == settings_.batch_limit) {
      break;
    }
    batch.events.push_back(entry.event);
  }
  if (!batch.events.empty()) {
    batch.first = batch.events.front().sequence;
    batch.next = batch.events.back().sequence + 1;
  }
  return batch;
}

void CacheEventLog::Drop() {
  entries_.clear();
}

}  // namespace gcw
