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

// A typed field of a log line, in the same form as in an event. Names include
// the unit, such as "wait_ms".
using LogField = EventField;

// Writes one JSON line through glog. `name` is a literal in snake case that
// names the event. Thread-safe. Without a `JsonLog`, glog writes only the name,
// to its own destination.
void LogEvent(LogSeverity severity,
              std::string_view name,
              const std::vector<LogField>& fields = {},
              const RequestId& request = RequestId());

// Writes an event of the timeline as a log line of severity kInfo.
void LogTimelineEvent(const TimelineEvent& event);

struct JsonLogSettings {
  NodeId node;
  // The program's name, for glog.
  std::string program = "goldcrestweir";
  // Lines below this severity are not written.
  LogSeverity min_severity = LogSeverity::kInfo;
  // Receives each line, including its newline. By default, lines are written to
  // standard error, each in one call if possible.
  std::function<void(std::string_view line)> write;
};

// Converts all output of glog, including that of libraries, to JSON lines
// during its lifetime:
//
//   {"time_ms":1733165000123,"node":"n1","severity":"INFO",
//    "event":"group_serving","request":"...","fields":{...}}
//
// Lines from glog's own macros are written as the event "log_message" with the
// fields "message", "file" and "line". A process has at most one JsonLog at a
// time.
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
