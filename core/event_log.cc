#include "core/event_log.h"

#include <algorithm>
#include <utility>

#include "core/event_id.h"

namespace gcw {

EventLog::Builder& EventLog::Builder::SetNode(NodeId node) {
  node_ = std::move(node);
  return *this;
}

EventLog::Builder& EventLog::Builder::SetIncarnation(Incarnation incarnation) {
  incarnation_ = incarnation;
  return *this;
}

EventLog::Builder& EventLog::Builder::SetClock(Clock clock) {
  clock_ = std::move(clock);
  return *this;
}

EventLog::Builder& EventLog::Builder::SetCapacity(std::size_t capacity) {
  capacity_ = std::max<std::size_t>(capacity, 1);
  return *this;
}

EventLog::Builder& EventLog::Builder::SetMaxAhead(Duration max_ahead) {
  max_ahead_ = max_ahead;
  return *this;
}

EventLog::Builder& EventLog::Builder::SetObserver(Observer observer) {
  observer_ = std::move(observer);
  return *this;
}

EventLog EventLog::Builder::Build() {
  return EventLog(std::move(*this));
}

EventLog::EventLog(Builder builder)
    : node_(std::move(builder.node_)),
      incarnation_(builder.incarnation_),
      clock_(std::move(builder.clock_)),
      capacity_(builder.capacity_),
      observer_(std::move(builder.observer_)),
      hybrid_clock_(builder.max_ahead_) {}

EventId EventLog::Append(EventDraft draft) {
  const std::int64_t counter =
      first_counter_ + static_cast<std::int64_t>(events_.size());
  EventId id = MakeEventId({node_, incarnation_, counter});
  events_.push_back({id, Tick(), node_, std::move(draft)});
  if (observer_) {
    observer_(events_.back());
  }
  if (events_.size() > capacity_) {
    events_.pop_front();
    ++first_counter_;
  }
  return id;
}

EventSink EventLog::Sink() {
  return [this](EventDraft draft) { return Append(std::move(draft)); };
}

HybridTime EventLog::Tick() {
  return hybrid_clock_.Tick(clock_());
}

Result<HybridTime, HybridTimeError> EventLog::Observe(
    const HybridTime& remote) {
  return hybrid_clock_.Observe(clock_(), remote);
}

EventPage EventLog::ReadNewest(std::size_t limit) const {
  EventPage page;
  const std::size_t count = std::min(limit, events_.size());
  const auto skipped = static_cast<std::int64_t>(events_.size() - count);
  page.events.assign(events_.begin() + skipped, events_.end());
  page.dropped = first_counter_ - 1 + skipped;
  if (!page.events.empty()) {
    page.next = page.events.back().id;
  }
  return page;
}

Result<EventPage, EventReadError> EventLog::ReadSince(const EventId& after,
                                                      std::size_t limit) const {
  EventPage page;
  page.next = after;
  const auto held = static_cast<std::int64_t>(events_.size());
  const std::int64_t newest = first_counter_ + held - 1;
  std::int64_t first_requested = 1;
  if (!after.empty()) {
    const auto parts = ParseEventId(after);
    if (!parts) {
      return EventReadError{EventReadErrorKind::kMalformedId};
    }
    if (parts->node != node_) {
      return EventReadError{EventReadErrorKind::kOtherNode};
    }
    page.restarted = parts->incarnation != incarnation_;
    first_requested = page.restarted ? 1 : std::min(parts->counter, newest) + 1;
  }
  page.dropped = std::max<std::int64_t>(first_counter_ - first_requested, 0);
  const std::int64_t skipped =
      std::clamp<std::int64_t>(first_requested - first_counter_, 0, held);
  const auto begin = events_.begin() + skipped;
  const std::int64_t count =
      std::min<std::int64_t>(held - skipped, static_cast<std::int64_t>(limit));
  page.events.assign(begin, begin + count);
  if (!page.events.empty()) {
    page.next = page.events.back().id;
  }
  return page;
}

Explanation EventLog::Explain(std::string_view subject) const {
  return ExplainSubject({events_.begin(), events_.end()}, subject);
}

}  // namespace gcw
