#ifndef PROGRAMS_GCWCTL_TABLE_H_
#define PROGRAMS_GCWCTL_TABLE_H_

#include <ostream>
#include <string>
#include <vector>

#include <boost/json/array.hpp>
#include <boost/json/value.hpp>

namespace gcw {

// A value as people read it: texts without quotes, lists joined by spaces,
// objects as `name=value`.
std::string PlainText(const boost::json::value& value);

// One row for each object; `columns` are the names of its fields.
void PrintTable(const boost::json::array& rows,
                const std::vector<std::string>& columns,
                std::ostream& out);

}  // namespace gcw

#endif  // PROGRAMS_GCWCTL_TABLE_H_
