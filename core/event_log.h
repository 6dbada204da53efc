#ifndef CORE_EVENT_LOG_H_
#define CORE_EVENT_LOG_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <string_view>
#include <vector>

#include "core/clock.h"
#include "core/event.h"
#include "core/event_causes.h"
#include "core/hybrid_clock.h"
#include "core/ids.h"
#include "core/result.h"

namespace gcw {

enum class EventReadErrorKind {
  // The id is not of the form `<node>/<incarnation>/<counter>`.
  kMalformedId,
  // The id belongs to another node's log.
  kOtherNode,
};

struct EventReadError {
  EventReadErrorKind kind;
};

// Some of a log's events, oldest first.
struct EventPage {
  std::vector<TimelineEvent> events;
  // Where the next read goes on: the id of the last event given, or the id that
  // was asked with when there was none.
  EventId next;
  // Events between the id asked with and the first one given that the log no
  // longer holds.
  std::int64_t dropped = 0;
  // The id asked with is of an earlier run of this node; what that run wrote
  // after it is lost and not counted in `dropped`.
  bool restarted = false;
};

// Bounded memory of what this node decided, newest last; the oldest events are
// dropped first. Not thread-safe: the control thread owns it.
class EventLog {
 public:
  // Called for each event after it is stamped, for example to log it.
  using Observer = std::function<void(const TimelineEvent&)>;

  class Builder {
   public:
    Builder& SetNode(NodeId node);
    Builder& SetIncarnation(Incarnation incarnation);
    // Source of physical time. A harness gives its virtual time.
    Builder& SetClock(Clock clock);
    // Number of events kept; at least one.
    Builder& SetCapacity(std::size_t capacity);
    Builder& SetMaxAhead(Duration max_ahead);
    Builder& SetObserver(Observer observer);
    EventLog Build();

   private:
    friend class EventLog;
    NodeId node_;
    Incarnation incarnation_;
    Clock clock_ = [] { return Time(); };
    std::size_t capacity_ = 16384;
    Duration max_ahead_ = HybridClock::kDefaultMaxAhead;
    Observer observer_;
  };

  // Stamps the event with the next id and hybrid time, and keeps it.
  EventId Append(EventDraft draft);
  // A sink that appends here; it must not outlive the log, nor the log move.
  EventSink Sink();

  // To be sent along with each message to a peer.
  HybridTime Tick();
  // Takes in the time that came with a peer's message.
  Result<HybridTime, HybridTimeError> Observe(const HybridTime& remote);

  // Up to `limit` events after the one named, an empty id meaning the start.
  Result<EventPage, EventReadError> ReadSince(const EventId& after,
                                              std::size_t limit) const;
  // The newest events, at most `limit`; `dropped` counts all earlier ones.
  EventPage ReadNewest(std::size_t limit) const;
  // Causes and effects of a subject as far as this node's log knows them.
  Explanation Why(std::string_view subject) const;

  std::size_t size() const { return events_.size(); }
  // Events dropped over this run.
  std::int64_t dropped() const { return first_counter_ - 1; }

 private:
  explicit EventLog(Builder builder);

  NodeId node_;
  Incarnation incarnation_;
  Clock clock_;
  std::size_t capacity_;
  Observer observer_;
  HybridClock hybrid_clock_;
  std::deque<TimelineEvent> events_;
  // Counter of the oldest event held, or of the next one when none is held.
  std::int64_t first_counter_ = 1;
};

}  // namespace gcw

#endif  // CORE_EVENT_LOG_H_
