#ifndef PROTOCOL_TRACE_FILE_H_
#define PROTOCOL_TRACE_FILE_H_

#include <string>
#include <vector>

#include "core/core.h"

namespace gcw {

// Returns a merged time line in the Trace Event Format (JSON object form),
// which Perfetto, Chrome's trace page and Speedscope can open. It has one
// process per node, one thread per family of events (request, group, role,
// ...), and an arrow from each cause to its effect. Times are in microseconds.
std::string ExportTrace(const std::vector<TimelineEvent>& events);

}  // namespace gcw

#endif  // PROTOCOL_TRACE_FILE_H_
