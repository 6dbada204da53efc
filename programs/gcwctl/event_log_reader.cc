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

json::value Extract(json::object& fields, std::string_view name) {
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
  const json::value* logged_fields = Find(object, "fields");
  if (node == nullptr || event == nullptr || logged_fields == nullptr ||
      !logged_fields->is_object() ||
      Find(logged_fields->get_object(), kHybridTime) == nullptr) {
    ++other_lines_;
    return;
  }
  json::object fields = logged_fields->get_object();
  json::object event_json{{"node", *node}, {"event", *event}};
  event_json["id"] = Extract(fields, kId);
  event_json["subject"] = Extract(fields, kSubject);
  event_json["cause"] = Extract(fields, kCause);
  event_json["time_ms"] = Extract(fields, kHybridTime);
  event_json["logical"] = Extract(fields, kHybridLogical);
  event_json["fields"] = std::move(fields);
  Result<TimelineEvent, TimelineError> decoded =
      decoder_->DecodeEvent(event_json);
  if (!IsOk(decoded)) {
    ++malformed_lines_;
    return;
  }
  events.push_back(std::move(ValueOf(decoded)));
}

}  // namespace gcw
