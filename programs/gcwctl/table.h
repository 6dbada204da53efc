#ifndef PROGRAMS_GCWCTL_TABLE_H_
#define PROGRAMS_GCWCTL_TABLE_H_

#include <ostream>
#include <string>
#include <vector>

#include <boost/json/array.hpp>
#include <boost/json/value.hpp>

namespace gcw {

// Formats a value for people: strings without quotes, lists joined by spaces,
// objects as `name=value`, null as `-`.
std::string PlainText(const boost::json::value& value);

// Prints one row for each object; `columns` names the fields shown.
void PrintTable(const boost::json::array& rows,
                const std::vector<std::string>& columns,
                std::ostream& out);

}  // namespace gcw

#endif  // PROGRAMS_GCWCTL_TABLE_H_
