#ifndef BENCH_EVENT_QUEUE_H_
#define BENCH_EVENT_QUEUE_H_

#include <cstdint>
#include <functional>
#include <vector>

#include "core/core.h"

namespace gcw::bench {

// Virtual time of a benchmark in microseconds, because network delays are
// shorter than the millisecond resolution of `Time`.
using Micros = std::int64_t;

inline constexpr Micros kSecond = 1000000;

constexpr Micros MicrosFromMillis(double millis) {
  return static_cast<Micros>(millis * 1000.0);
}

// Runs callbacks in the order of their virtual time. Callbacks with the same
// time run in the order in which they were added.
class EventQueue {
 public:
  using Callback = std::function<void()>;

  Micros now() const { return now_; }
  // Returns the current virtual time in the unit of the decision core.
  Time time() const { return Time::FromMillis(now_ / 1000); }

  void ScheduleAt(Micros when, Callback callback);
  void ScheduleAfter(Micros delay, Callback callback);
  // Runs all callbacks due up to and including `end`, then sets the time to
  // `end`.
  void RunUntil(Micros end);

 private:
  struct Entry {
    Micros when;
    std::uint64_t order;
    Callback callback;
  };
  static bool IsLater(const Entry& a, const Entry& b);

  Micros now_ = 0;
  std::uint64_t next_order_ = 0;
  // A heap whose front is the earliest entry.
  std::vector<Entry> entries_;
};

}  // namespace gcw::bench

#endif  // BENCH_EVENT_QUEUE_H_
