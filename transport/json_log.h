#ifndef TRANSPORT_JSON_LOG_H_
#define TRANSPORT_JSON_LOG_H_

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "core/core.h"

namespace gcw {

enum class LogSeverity { kInfo, kWarning, kError };

// A typed detail of a log line, in the same form as in an event. Names carry
// their unit, such as "wait_ms".
using LogField = EventField;

// Writes one JSON line through glog. `name` is a literal in snake case that
// tells what happened. May be called from any thread; without a `JsonLog` the
// line goes wherever glog sends it, as the bare name.
void LogEvent(LogSeverity severity,
              std::string_view name,
              const std::vector<LogField>& fields = {},
              const RequestId& request = RequestId());

// Writes an event of the time line as a log line of severity kInfo.
void LogTimelineEvent(const TimelineEvent& event);

struct JsonLogSettings {
  NodeId node;
  // The program's name, for glog.
  std::string program = "goldcrestweir";
  // Lines below this severity are not written.
  LogSeverity min_severity = LogSeverity::kInfo;
  // Takes each line, which ends in a newline. By default it is written to
  // standard error in one call.
  std::function<void(std::string_view line)> write;
};

// Turns all of glog's output, also the lines of libraries, into JSON lines for
// as long as it lives:
//
//   {"time_ms":1733165000123,"node":"n1","severity":"INFO",
//    "event":"group_serving","request":"...","fields":{...}}
//
// Lines that come from glog's own macros are the event "log_message" with the
// fields "message", "file" and "line". One at a time in a process.
class JsonLog {
 public:
  explicit JsonLog(JsonLogSettings settings);
  ~JsonLog();
  JsonLog(const JsonLog&) = delete;
  JsonLog& operator=(const JsonLog&) = delete;

 private:
  class Sink;
  std::unique_ptr<Sink> sink_;
};

}  // namespace gcw

#endif  // TRANSPORT_JSON_LOG_H_
