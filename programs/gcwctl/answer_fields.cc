#include "programs/gcwctl/answer_fields.h"

#include "programs/gcwctl/table.h"

namespace gcw {

namespace json = boost::json;

std::string FieldText(const json::object& object, std::string_view name) {
  const json::value* value = object.if_contains(name);
  return value == nullptr ? "" : PlainText(*value);
}

json::array FieldList(const json::object& object, std::string_view name) {
  const json::value* value = object.if_contains(name);
  return value != nullptr && value->is_array() ? value->get_array()
                                               : json::array();
}

}  // namespace gcw
