#ifndef TRANSPORT_QUERY_STRING_H_
#define TRANSPORT_QUERY_STRING_H_

#include <string>
#include <string_view>

namespace gcw {

// The part of a request target before its query.
std::string PathOf(std::string_view target);

// The decoded value of a query's parameter; empty where it is not given.
std::string QueryValue(std::string_view target, std::string_view name);

}  // namespace gcw

#endif  // TRANSPORT_QUERY_STRING_H_
