#ifndef PROGRAMS_GCWCTL_ANSWER_FIELDS_H_
#define PROGRAMS_GCWCTL_ANSWER_FIELDS_H_

#include <string>
#include <string_view>

#include <boost/json.hpp>

namespace gcw {

// Returns a field of an operator API response. The text is empty if the field
// is absent; the list also if the field has another type.
std::string FieldText(const boost::json::object& object, std::string_view name);
boost::json::array FieldList(const boost::json::object& object,
                             std::string_view name);

}  // namespace gcw

#endif  // PROGRAMS_GCWCTL_ANSWER_FIELDS_H_
