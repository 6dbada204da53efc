#ifndef CORE_EVENT_ID_H_
#define CORE_EVENT_ID_H_

#include <cstdint>
#include <optional>

#include "core/event.h"
#include "core/ids.h"

namespace gcw {

// What an event's id is made of. Written as `<node>/<incarnation>/<counter>`.
struct EventIdParts {
  NodeId node;
  Incarnation incarnation;
  // Counts the events of this incarnation from 1.
  std::int64_t counter = 0;

  friend auto operator<=>(const EventIdParts&, const EventIdParts&) = default;
};

EventId MakeEventId(const EventIdParts& parts);

// Nothing where the id is not of that form.
std::optional<EventIdParts> ParseEventId(const EventId& id);

}  // namespace gcw

#endif  // CORE_EVENT_ID_H_
