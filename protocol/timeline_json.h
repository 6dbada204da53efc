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
  // A field of an event is missing or has the wrong type.
  kMalformed,
  // This version does not know the kind of the event.
  kUnknownKind,
  // The events have more distinct field names than any healthy node uses.
  kTooManyNames,
};

struct TimelineError {
  TimelineErrorKind kind;
  // The invalid field. It is empty if the text as a whole is invalid.
  std::string field;
};

// An event in JSON:
//
//   {"id":"n1/4/17","time_ms":1733165000123,"logical":0,"node":"n1",
//    "event":"group_serving","subject":"g7","cause":"n1/4/12",
//    "fields":{"generation":3}}
boost::json::object EventToJson(const TimelineEvent& event);

// Returns {"events":[...]}.
std::string EncodeEvents(const std::vector<TimelineEvent>& events);

// Returns
//   {"events":[...],"next":"n1/4/17","dropped":0,"restarted":false}
std::string EncodeEventPage(const EventPage& page);

// Decodes events from JSON. Decoded events refer to field names that the
// decoder owns, so the decoder must outlive them.
class TimelineDecoder {
 public:
  static constexpr std::size_t kMaxNames = 4096;

  Result<TimelineEvent, TimelineError> DecodeEvent(
      const boost::json::value& json);
  // Decodes the output of `EncodeEventPage` or `EncodeEvents`.
  Result<EventPage, TimelineError> DecodePage(std::string_view text);

 private:
  Result<std::vector<EventField>, TimelineError> DecodeFields(
      const boost::json::object& json);

  std::set<std::string, std::less<>> names_;
};

}  // namespace gcw

#endif  // PROTOCOL_TIMELINE_JSON_H_
