#include "bench/event_queue.h"

#include <algorithm>
#include <utility>

namespace gcw::bench {

bool EventQueue::IsLater(const Entry& a, const Entry& b) {
  return a.when != b.when ? a.when > b.when : a.order > b.order;
}

void EventQueue::ScheduleAt(Micros when, Callback callback) {
  entries_.push_back(
      {std::max(when, now_), next_order_++, std::move(callback)});
  std::push_heap(entries_.begin(), entries_.end(), IsLater);
}

void EventQueue::ScheduleAfter(Micros delay, Callback callback) {
  ScheduleAt(now_ + delay, std::move(callback));
}

void EventQueue::RunUntil(Micros end) {
  while (!entries_.empty() && entries_.front().when <= end) {
    std::pop_heap(entries_.begin(), entries_.end(), IsLater);
    Entry entry = std::move(entries_.back());
    entries_.pop_back();
    now_ = entry.when;
    entry.callback();
  }
  now_ = end;
}

}  // namespace gcw::bench
