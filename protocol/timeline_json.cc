#include "protocol/timeline_json.h"

#include <cstdint>
#include <limits>
#include <optional>
#include <utility>

#include <boost/json/array.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include "protocol/event_field_json.h"

namespace gcw {
namespace {

constexpr std::string_view kId = "id";
constexpr std::string_view kTimeMs = "time_ms";
constexpr std::string_view kLogical = "logical";
constexpr std::string_view kNode = "node";
constexpr std::string_view kEvent = "event";
constexpr std::string_view kSubject = "subject";
constexpr std::string_view kCause = "cause";
constexpr std::string_view kFields = "fields";
constexpr std::string_view kEvents = "events";
constexpr std::string_view kNext = "next";
constexpr std::string_view kDropped = "dropped";
constexpr std::string_view kRestarted = "restarted";

// Reads members of an object and keeps the first fault. Reads of missing or
// malformed members return empty values.
class MemberReader {
 public:
  explicit MemberReader(const boost::json::object& object) : object_(object) {}

  std::string Text(std::string_view name) {
    const boost::json::value* value = object_.if_contains(name);
    if (value == nullptr || !value->is_string()) {
      Fail(name);
      return {};
    }
    return std::string(value->get_string());
  }

  std::int64_t Integer(std::string_view name) {
    const boost::json::value* value = object_.if_contains(name);
    if (value == nullptr || !value->is_int64()) {
      Fail(name);
      return 0;
    }
    return value->get_int64();
  }

  const std::optional<TimelineError>& error() const { return error_; }

 private:
  void Fail(std::string_view name) {
    if (!error_) {
      error_ = TimelineError{TimelineErrorKind::kMalformed, std::string(name)};
    }
  }

  const boost::json::object& object_;
  std::optional<TimelineError> error_;
};

boost::json::array EventsToJson(const std::vector<TimelineEvent>& events) {
  boost::json::array json;
  json.reserve(events.size());
  for (const TimelineEvent& event : events) {
    json.push_back(EventToJson(event));
  }
  return json;
}

using FieldValue = decltype(EventField::value);

std::optional<FieldValue> FieldValueFromJson(const boost::json::value& json) {
  switch (json.kind()) {
    case boost::json::kind::int64:
      return json.get_int64();
    case boost::json::kind::double_:
      return json.get_double();
    case boost::json::kind::null:
      return std::numeric_limits<double>::quiet_NaN();
    case boost::json::kind::bool_:
      return json.get_bool();
    case boost::json::kind::string:
      return std::string(json.get_string());
    default:
      return std::nullopt;
  }
}

TimelineError Malformed(std::string_view field) {
  return {TimelineErrorKind::kMalformed, std::string(field)};
}

}  // namespace

boost::json::object EventToJson(const TimelineEvent& event) {
  return {
      {kId, TextToJson(event.id.value())},
      {kTimeMs, event.time.physical.millis()},
      {kLogical, event.time.logical},
      {kNode, TextToJson(event.node.value())},
      {kEvent, EventKindName(event.draft.kind)},
      {kSubject, TextToJson(event.draft.subject)},
      {kCause, TextToJson(event.draft.cause.value())},
      {kFields, FieldsToJson(event.draft.fields)},
  };
}

std::string EncodeEvents(const std::vector<TimelineEvent>& events) {
  return boost::json::serialize(
      boost::json::object{{kEvents, EventsToJson(events)}});
}

std::string EncodeEventPage(const EventPage& page) {
  return boost::json::serialize(boost::json::object{
      {kEvents, EventsToJson(page.events)},
      {kNext, TextToJson(page.next.value())},
      {kDropped, page.dropped},
      {kRestarted, page.restarted},
  });
}

Result<TimelineEvent, TimelineError> TimelineDecoder::DecodeEvent(
    const boost::json::value& json) {
  const boost::json::object* object = json.if_object();
  if (object == nullptr) {
    return Malformed(kEvents);
  }
  MemberReader reader(*object);
  TimelineEvent event;
  event.id = EventId(reader.Text(kId));
  event.time.physical = Time::FromMillis(reader.Integer(kTimeMs));
  event.time.logical = reader.Integer(kLogical);
  event.node = NodeId(reader.Text(kNode));
  const std::string kind_name = reader.Text(kEvent);
  event.draft.subject = reader.Text(kSubject);
  event.draft.cause = EventId(reader.Text(kCause));
  if (reader.error()) {
    return *reader.error();
  }
  const auto kind = EventKindFromName(kind_name);
  if (!kind) {
    return TimelineError{TimelineErrorKind::kUnknownKind, std::string(kEvent)};
  }
  event.draft.kind = *kind;
  const boost::json::value* fields = object->if_contains(kFields);
  if (fields == nullptr || !fields->is_object()) {
    return Malformed(kFields);
  }
  auto decoded = DecodeFields(fields->get_object());
  if (!IsOk(decoded)) {
    return ErrorOf(decoded);
  }
  event.draft.fields = std::move(ValueOf(decoded));
  return event;
}

Result<std::vector<EventField>, TimelineError> TimelineDecoder::DecodeFields(
    const boost::json::object& json) {
  std::vector<EventField> fields;
  fields.reserve(json.size());
  for (const auto& member : json) {
    auto value = FieldValueFromJson(member.value());
    if (!value) {
      return Malformed(member.key());
    }
    auto name = names_.find(member.key());
    if (name == names_.end()) {
      if (names_.size() >= kMaxNames) {
        return TimelineError{TimelineErrorKind::kTooManyNames,
                             std::string(member.key())};
      }
      name = names_.emplace(member.key()).first;
    }
    fields.push_back({*name, *std::move(value)});
  }
  return fields;
}

Result<EventPage, TimelineError> TimelineDecoder::DecodePage(
    std::string_view text) {
  boost::json::error_code syntax;
  const boost::json::value json = boost::json::parse(text, syntax);
  if (syntax) {
    return TimelineError{TimelineErrorKind::kSyntax, {}};
  }
  const boost::json::object* object = json.if_object();
  const boost::json::value* events_json =
      object == nullptr ? nullptr : object->if_contains(kEvents);
  if (events_json == nullptr || !events_json->is_array()) {
    return Malformed(kEvents);
  }
  EventPage page;
  page.events.reserve(events_json->get_array().size());
  for (const boost::json::value& item : events_json->get_array()) {
    auto event = DecodeEvent(item);
    if (!IsOk(event)) {
      return ErrorOf(event);
    }
    page.events.push_back(std::move(ValueOf(event)));
  }
  if (!object->contains(kNext)) {
    return page;
  }
  MemberReader reader(*object);
  page.next = EventId(reader.Text(kNext));
  page.dropped = reader.Integer(kDropped);
  if (reader.error()) {
    return *reader.error();
  }
  const boost::json::value* restarted = object->if_contains(kRestarted);
  if (restarted == nullptr || !restarted->is_bool()) {
    return Malformed(kRestarted);
  }
  page.restarted = restarted->get_bool();
  return page;
}

}  // namespace gcw
