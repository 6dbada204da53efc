#ifndef PROTOCOL_EVENT_FIELD_JSON_H_
#define PROTOCOL_EVENT_FIELD_JSON_H_

#include <string_view>
#include <vector>

#include <boost/json/object.hpp>
#include <boost/json/value.hpp>

#include "core/core.h"

namespace gcw {

// A JSON string in valid UTF-8.
boost::json::value TextToJson(std::string_view text);

// One member a field. Numbers that JSON cannot write (NaN, infinite) are null.
boost::json::object FieldsToJson(const std::vector<EventField>& fields);

}  // namespace gcw

#endif  // PROTOCOL_EVENT_FIELD_JSON_H_
