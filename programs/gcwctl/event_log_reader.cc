#include "programs/gcwctl/event_log_reader.h"

#include <string>
#include <utility>

#include <boost/json.hpp>

namespace gcw {
namespace {

namespace json = boost::json;

// Log fields that belong to the event itself rather than to its `fields`; see
// docs/reference/json_log.md.
constexpr std::string_view kId = "id";
constexpr std::string_view kSubject = "subject";
constexpr std::string_view kCause = "cause";
constexpr std::string_view kHybridTime = "hybrid_time_ms";
constexpr std::string_view kHybridLogical = "hybrid_logical";

const json::value* Find(const json::object& object, std::string_view name) {
  return object.if_contains(name);
}

json::value Take(json::object& fields, std::string_view name) {
  const auto found = fields.find(name);
  if (found == fields.end()) {
    return nullptr;
  }
  json::value value = std::move(found->value());
  fields.erase(found);
  return value;
}

}  // namespace

std::vector<TimelineEvent> EventLogReader::Read(std::istream& in) {
  std::vector<TimelineEvent> events;
  for (std::string line; std::getline(in, line);) {
    if (!line.empty()) {
      ReadLine(line, events);
    }
  }
  return events;
}

void EventLogReader::ReadLine(std::string_view line,
                              std::vector<TimelineEvent>& events) {
  const std::size_t begin = line.find('{');
  json::error_code error;
  const json::value parsed =
      begin == std::string_view::npos
          ? json::value()
          : json::parse(json::string_view(line.substr(begin)), error);
  if (error || !parsed.is_object()) {
    ++malformed_lines_;
    return;
  }
  const json::object& object = parsed.get_object();
  const json::value* node = Find(object, "node");
  const json::value* event = Find(object, "event");
  const json::value* written = Find(object, "fields");
  if (node == nullptr || event == nullptr || written == nullptr ||
      !written->is_object() ||
      Find(written->get_object(), kHybridTime) == nullptr) {
    ++other_lines_;
    return;
  }
  json::object fields = written->get_object();
  json::object shaped{{"node", *node}, {"event", *event}};
  shaped["id"] = Take(fields, kId);
  shaped["subject"] = Take(fields, kSubject);
  shaped["cause"] = Take(fields, kCause);
  shaped["time_ms"] = Take(fields, kHybridTime);
  shaped["logical"] = Take(fields, kHybridLogical);
  shaped["fields"] = std::move(fields);
  Result<TimelineEvent, TimelineError> decoded = decoder_->DecodeEvent(shaped);
  if (!IsOk(decoded)) {
    ++malformed_lines_;
    return;
  }
  events.push_back(std::move(ValueOf(decoded)));
}

}  // namespace gcw
