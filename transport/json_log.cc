#include "transport/json_log.h"

#include <cerrno>
#include <cstdint>
#include <cstdlib>
#include <utility>

#include <glog/logging.h>
#include <unistd.h>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include "protocol/protocol.h"

namespace gcw {
namespace {

constexpr std::int64_t kMillisPerSecond = 1000;
constexpr std::int64_t kMicrosPerMilli = 1000;
constexpr std::string_view kLibraryEvent = "log_message";

// The typed line that `LogEvent` passes to the sink beside glog, whose own
// messages are plain text.
struct TypedLine {
  std::string_view name;
  const std::vector<LogField>* fields;
  const RequestId* request;
};

// Set while this thread's typed line passes through glog, which calls sinks on
// the logging thread.
thread_local const TypedLine* g_typed_line = nullptr;

google::LogSeverity ToGlog(LogSeverity severity) {
  switch (severity) {
    case LogSeverity::kInfo:
      return google::GLOG_INFO;
    case LogSeverity::kWarning:
      return google::GLOG_WARNING;
    case LogSeverity::kError:
      return google::GLOG_ERROR;
  }
  return google::GLOG_ERROR;
}

// A line that cannot be written is lost, because there is nowhere else to
// report the failure.
void WriteToStandardError(std::string_view line) {
  while (!line.empty()) {
    const ssize_t written = write(STDERR_FILENO, line.data(), line.size());
    if (written < 0 && errno == EINTR) {
      continue;
    }
    if (written <= 0) {
      return;
    }
    line.remove_prefix(static_cast<std::size_t>(written));
  }
}

}  // namespace

void LogEvent(LogSeverity severity,
              std::string_view name,
              const std::vector<LogField>& fields,
              const RequestId& request) {
  if (ToGlog(severity) < FLAGS_minloglevel) {
    return;
  }
  const TypedLine line{name, &fields, &request};
  g_typed_line = &line;
  google::LogMessage(__FILE__, __LINE__, ToGlog(severity)).stream() << name;
  g_typed_line = nullptr;
}

void LogTimelineEvent(const TimelineEvent& event) {
  std::vector<LogField> fields = event.draft.fields;
  fields.push_back({"id", event.id.value()});
  fields.push_back({"subject", event.draft.subject});
  fields.push_back({"cause", event.draft.cause.value()});
  fields.push_back({"hybrid_time_ms", event.time.physical.millis()});
  fields.push_back({"hybrid_logical", event.time.logical});
  LogEvent(LogSeverity::kInfo, EventKindName(event.draft.kind), fields);
}

class JsonLog::Sink : public google::LogSink {
 public:
  explicit Sink(JsonLogSettings settings) : settings_(std::move(settings)) {
    if (!settings_.write) {
      settings_.write = WriteToStandardError;
    }
  }

  const JsonLogSettings& settings() const { return settings_; }

  using google::LogSink::send;
  void send(google::LogSeverity severity,
            const char* /*full_filename*/,
            const char* base_filename,
            int line,
            const google::LogMessageTime& time,
            const char* message,
            std::size_t message_length) override {
    boost::json::object json{
        {"time_ms",
         time.timestamp() * kMillisPerSecond + time.usec() / kMicrosPerMilli},
        {"node", TextToJson(settings_.node.value())},
        {"severity", google::GetLogSeverityName(severity)},
    };
    if (g_typed_line != nullptr) {
      AddTyped(*g_typed_line, json);
    } else {
      json["event"] = kLibraryEvent;
      json["fields"] =
          FieldsToJson({{"message", std::string(message, message_length)},
                        {"file", std::string(base_filename)},
                        {"line", std::int64_t{line}}});
    }
    settings_.write(boost::json::serialize(json) + '\n');
  }

 private:
  static void AddTyped(const TypedLine& line, boost::json::object& json) {
    json["event"] = TextToJson(line.name);
    if (!line.request->empty()) {
      json["request"] = TextToJson(line.request->value());
    }
    if (!line.fields->empty()) {
      json["fields"] = FieldsToJson(*line.fields);
    }
  }

  JsonLogSettings settings_;
};

JsonLog::JsonLog(JsonLogSettings settings)
    : sink_(std::make_unique<Sink>(std::move(settings))) {
  // Disables glog's own text output, both to standard error and to files: the
  // VMs have no disks.
  FLAGS_logtostderr = false;
  FLAGS_alsologtostderr = false;
  FLAGS_stderrthreshold = google::NUM_SEVERITIES;
  FLAGS_minloglevel = ToGlog(sink_->settings().min_severity);
  for (int severity = 0; severity < google::NUM_SEVERITIES; ++severity) {
    google::SetLogDestination(severity, "");
  }
  if (!google::IsGoogleLoggingInitialized()) {
    // glog keeps the pointer for the lifetime of the process.
    static const std::string* const program =
        new std::string(sink_->settings().program);
    google::InitGoogleLogging(program->c_str());
  }
  google::AddLogSink(sink_.get());
}

JsonLog::~JsonLog() {
  google::RemoveLogSink(sink_.get());
}

}  // namespace gcw
