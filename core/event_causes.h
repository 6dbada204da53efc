#ifndef CORE_EVENT_CAUSES_H_
#define CORE_EVENT_CAUSES_H_

#include <string_view>
#include <vector>

#include "core/event.h"

namespace gcw {

// Relation of an event to the subject of an explanation.
enum class EventRelation {
  // The event led to an event of the subject, directly or over several steps.
  kCause,
  // The event is about the subject itself.
  kSubject,
  // The event followed from an event of the subject, directly or over several
  // steps.
  kEffect,
};

std::string_view EventRelationName(EventRelation relation);

struct ExplainedEvent {
  EventRelation relation;
  TimelineEvent event;
};

// Causes and effects of the events about a subject.
struct Explanation {
  // Events in the order of the input.
  std::vector<ExplainedEvent> events;
  // Causes that are named but not in the input: dropped from a bounded log, or
  // held by a node that was not asked.
  std::vector<EventId> missing_causes;
};

// Follows the causes of all events about `subject`, backwards to what led to
// them and forwards to their effects. Also terminates if causes form a cycle,
// which healthy nodes never write but a corrupted event may contain.
Explanation ExplainSubject(const std::vector<TimelineEvent>& events,
                           std::string_view subject);

}  // namespace gcw

#endif  // CORE_EVENT_CAUSES_H_
