#ifndef PROGRAMS_GCWCTL_ANSWER_FIELDS_H_
#define PROGRAMS_GCWCTL_ANSWER_FIELDS_H_

#include <string>
#include <string_view>

#include <boost/json.hpp>

namespace gcw {

// Fields of an operators' answer; empty where one is absent or of another type.
std::string FieldText(const boost::json::object& object, std::string_view name);
boost::json::array FieldList(const boost::json::object& object,
                             std::string_view name);

}  // namespace gcw

#endif  // PROGRAMS_GCWCTL_ANSWER_FIELDS_H_
