#ifndef PROGRAMS_GCW_STANDIN_VALUE_HISTORY_H_
#define PROGRAMS_GCW_STANDIN_VALUE_HISTORY_H_

#include <cstddef>
#include <deque>
#include <utility>

#include "core/core.h"

namespace gcw {

// Keeps past values with their times, so that readers can be given stale ones.
template <typename Value>
class ValueHistory {
 public:
  struct Entry {
    Time time;
    Value value;
  };

  // `time` must not be earlier than that of the last entry.
  void Append(Time time, Value value) {
    entries_.push_back({time, std::move(value)});
    if (entries_.size() > kMaxEntries) {
      entries_.pop_front();
    }
  }

  bool empty() const { return entries_.empty(); }

  // Returns the newest entry at or before `time`, or the oldest entry if all
  // are later. There must be at least one entry.
  const Entry& At(Time time) const {
    for (auto entry = entries_.rbegin(); entry != entries_.rend(); ++entry) {
      if (entry->time <= time) {
        return *entry;
      }
    }
    return entries_.front();
  }

 private:
  static constexpr std::size_t kMaxEntries = 1000;

  std::deque<Entry> entries_;
};

}  // namespace gcw

#endif  // PROGRAMS_GCW_STANDIN_VALUE_HISTORY_H_
