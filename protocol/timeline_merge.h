#ifndef PROTOCOL_TIMELINE_MERGE_H_
#define PROTOCOL_TIMELINE_MERGE_H_

#include <vector>

#include "core/core.h"

namespace gcw {

// Makes one list of the events of many nodes, each event once. The order is by
// hybrid time, then node, then id, apart from events whose cause would come
// after them: those wait for it. The result does not depend on the order of the
// lists. Where causes form a cycle, which only damaged events do, the earliest
// event of it comes first.
std::vector<TimelineEvent> MergeTimelines(
    std::vector<std::vector<TimelineEvent>> timelines);

}  // namespace gcw

#endif  // PROTOCOL_TIMELINE_MERGE_H_
