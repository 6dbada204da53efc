#ifndef TRANSPORT_QUERY_STRING_H_
#define TRANSPORT_QUERY_STRING_H_

#include <string>
#include <string_view>

namespace gcw {

// Returns the path of a request target, without the query.
std::string ExtractPath(std::string_view target);

// Returns the decoded value of a query parameter, or an empty string if it is
// missing.
std::string QueryValue(std::string_view target, std::string_view name);

}  // namespace gcw

#endif  // TRANSPORT_QUERY_STRING_H_
