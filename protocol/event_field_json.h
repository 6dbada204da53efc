#ifndef PROTOCOL_EVENT_FIELD_JSON_H_
#define PROTOCOL_EVENT_FIELD_JSON_H_

#include <string_view>
#include <vector>

#include <boost/json/object.hpp>
#include <boost/json/value.hpp>

#include "core/core.h"

namespace gcw {

// Returns a JSON string in which invalid UTF-8 is replaced.
boost::json::value TextToJson(std::string_view text);

// Returns an object with one member per field. NaN and infinite numbers become
// null, because JSON cannot represent them.
boost::json::object FieldsToJson(const std::vector<EventField>& fields);

}  // namespace gcw

#endif  // PROTOCOL_EVENT_FIELD_JSON_H_
