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
  // The id does not have the form `<node>/<incarnation>/<counter>`.
  kMalformedId,
  // The id belongs to another node's log.
  kOtherNode,
};

struct EventReadError {
  EventReadErrorKind kind;
};

// A page of a log's events, oldest first.
struct EventPage {
  std::vector<TimelineEvent> events;
  // Id to read on from: that of the last event in the page, or the requested id
  // if the page is empty.
  EventId next;
  // Number of events between the requested id and the first one in the page
  // that the log no longer holds.
  std::int64_t dropped = 0;
  // The requested id belongs to an earlier run of this node. The events that
  // the run wrote after it are lost and not counted in `dropped`.
  bool restarted = false;
};

// Bounded in-memory log of this node's decisions, newest last. The oldest
// events are dropped first. Not thread-safe: the control thread owns it.
class EventLog {
 public:
  // Called for each event after it is stamped, for example to log it.
  using Observer = std::function<void(const TimelineEvent&)>;

  class Builder {
   public:
    Builder& SetNode(NodeId node);
    Builder& SetIncarnation(Incarnation incarnation);
    // Source of physical time. A simulation passes its virtual time.
    Builder& SetClock(Clock clock);
    // Maximum number of events kept; at least one.
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

  // Assigns the next id and hybrid time to the event, and stores it.
  EventId Append(EventDraft draft);
  // Returns a sink that appends to this log. The log must outlive the sink and
  // must not be moved.
  EventSink Sink();

  // Returns the time to send with a message to a peer.
  HybridTime Tick();
  // Merges the time received with a peer's message.
  Result<HybridTime, HybridTimeError> Observe(const HybridTime& remote);

  // Returns up to `limit` events after the given one; an empty id means the
  // start of the log.
  Result<EventPage, EventReadError> ReadSince(const EventId& after,
                                              std::size_t limit) const;
  // Returns the newest events, at most `limit`; `dropped` counts all earlier
  // ones.
  EventPage ReadNewest(std::size_t limit) const;
  // Returns the causes and effects of a subject that are in this node's log.
  Explanation Explain(std::string_view subject) const;

  std::size_t size() const { return events_.size(); }
  // Number of events dropped in this run.
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
  // Counter of the oldest event held, or of the next one if the log is empty.
  std::int64_t first_counter_ = 1;
};

}  // namespace gcw

#endif  // CORE_EVENT_LOG_H_
