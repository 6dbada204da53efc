#ifndef PROTOCOL_TIMELINE_JSON_H_
#define PROTOCOL_TIMELINE_JSON_H_

#include <set>
#include <string>
#include <string_view>
#include <vector>

#include <boost/json/object.hpp>
#include <boost/json/value.hpp>

#include "core/core.h"

namespace gcw {

enum class TimelineErrorKind {
  kSyntax,
  // A field of an event is missing or has a wrong type.
  kMalformed,
  // The event's kind is none that this version knows.
  kUnknownKind,
  // More different names of fields than any sound node uses.
  kTooManyNames,
};

struct TimelineError {
  TimelineErrorKind kind;
  // The field at fault; empty where the text as a whole is.
  std::string field;
};

// An event in JSON:
//
//   {"id":"n1/4/17","time_ms":1733165000123,"logical":0,"node":"n1",
//    "event":"group_serving","subject":"g7","cause":"n1/4/12",
//    "fields":{"generation":3}}
boost::json::object EventToJson(const TimelineEvent& event);

// {"events":[...]}
std::string EncodeEvents(const std::vector<TimelineEvent>& events);

// {"events":[...],"next":"n1/4/17","dropped":0,"restarted":false}
std::string EncodeEventPage(const EventPage& page);

// Reads events from JSON. An event refers to the names of its fields; those of
// decoded events are kept here, so the decoder must outlive the events.
class TimelineDecoder {
 public:
  static constexpr std::size_t kMaxNames = 4096;

  Result<TimelineEvent, TimelineError> DecodeEvent(
      const boost::json::value& json);
  // Reads what `EncodeEventPage` or `EncodeEvents` wrote.
  Result<EventPage, TimelineError> DecodePage(std::string_view text);

 private:
  Result<std::vector<EventField>, TimelineError> DecodeFields(
      const boost::json::object& json);

  std::set<std::string, std::less<>> names_;
};

}  // namespace gcw

#endif  // PROTOCOL_TIMELINE_JSON_H_
