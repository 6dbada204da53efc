#ifndef PROTOCOL_TIMELINE_MERGE_H_
#define PROTOCOL_TIMELINE_MERGE_H_

#include <vector>

#include "core/core.h"

namespace gcw {

// Merges the events of many nodes into one list that holds each event once.
// Events are ordered by hybrid time, then node, then id, except that an event
// whose cause would come after it is moved behind its cause. The result does
// not depend on the order of the lists. If causes form a cycle, which only
// damaged events do, the earliest event that waits for the cycle comes first.
std::vector<TimelineEvent> MergeTimelines(
    std::vector<std::vector<TimelineEvent>> timelines);

}  // namespace gcw

#endif  // PROTOCOL_TIMELINE_MERGE_H_
