#ifndef PROTOCOL_TRACE_FILE_H_
#define PROTOCOL_TRACE_FILE_H_

#include <string>
#include <vector>

#include "core/core.h"

namespace gcw {

// Writes a merged time line in the Trace Event Format (JSON object form), which
// Perfetto, Chrome's trace page and Speedscope open: one process a node, one
// lane for each family of events (request, group, role, ...), and an arrow from
// each cause to its effect. Times are microseconds.
std::string ExportTrace(const std::vector<TimelineEvent>& events);

}  // namespace gcw

#endif  // PROTOCOL_TRACE_FILE_H_
