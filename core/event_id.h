#ifndef CORE_EVENT_ID_H_
#define CORE_EVENT_ID_H_

#include <cstdint>
#include <optional>

#include "core/event.h"
#include "core/ids.h"

namespace gcw {

// Parts of an event id, which is written as `<node>/<incarnation>/<counter>`.
struct EventIdParts {
  NodeId node;
  Incarnation incarnation;
  // Counts the events of this incarnation from 1.
  std::int64_t counter = 0;

  friend auto operator<=>(const EventIdParts&, const EventIdParts&) = default;
};

EventId MakeEventId(const EventIdParts& parts);

// Returns nothing if the id does not have that form.
std::optional<EventIdParts> ParseEventId(const EventId& id);

}  // namespace gcw

#endif  // CORE_EVENT_ID_H_
