#include "protocol/event_field_json.h"

#include <cmath>
#include <string>
#include <variant>

#include "protocol/utf8.h"

namespace gcw {
namespace {

boost::json::value ValueToJson(const EventField& field) {
  return std::visit(
      Overloaded{
          [](std::int64_t number) { return boost::json::value(number); },
          [](double number) {
            return std::isfinite(number) ? boost::json::value(number)
                                         : boost::json::value(nullptr);
          },
          [](bool flag) { return boost::json::value(flag); },
          [](const std::string& text) { return TextToJson(text); },
      },
      field.value);
}

}  // namespace

boost::json::value TextToJson(std::string_view text) {
  return boost::json::value(ReplaceInvalidUtf8(text));
}

boost::json::object FieldsToJson(const std::vector<EventField>& fields) {
  boost::json::object json;
  json.reserve(fields.size());
  for (const EventField& field : fields) {
    json.insert_or_assign(field.name, ValueToJson(field));
  }
  return json;
}

}  // namespace gcw
