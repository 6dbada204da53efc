#ifndef CORE_EVENT_CAUSES_H_
#define CORE_EVENT_CAUSES_H_

#include <string_view>
#include <vector>

#include "core/event.h"

namespace gcw {

// How an event belongs to an explanation.
enum class EventRelation {
  // Led, perhaps over several steps, to an event of the subject.
  kCause,
  // Is about the subject itself.
  kSubject,
  // Followed from an event of the subject, perhaps over several steps.
  kEffect,
};

std::string_view EventRelationName(EventRelation relation);

struct ExplainedEvent {
  EventRelation relation;
  TimelineEvent event;
};

// Why something happened to a subject and what followed from it.
struct Explanation {
  // In the order of the events given.
  std::vector<ExplainedEvent> events;
  // Causes that are named but not among the events given: dropped from a
  // bounded log, or held by a node that was not asked.
  std::vector<EventId> missing_causes;
};

// Walks the causes of all events about `subject`, backwards to what led to them
// and forwards to what followed. Ends also when causes form a cycle, which
// sound nodes never write but a damaged event may.
Explanation ExplainSubject(const std::vector<TimelineEvent>& events,
                           std::string_view subject);

}  // namespace gcw

#endif  // CORE_EVENT_CAUSES_H_
