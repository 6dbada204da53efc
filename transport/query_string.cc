#include "transport/query_string.h"

#include <charconv>

namespace gcw {
namespace {

constexpr int kHexadecimal = 16;
constexpr std::size_t kEscapeLength = 3;

// Decodes percent-encoding, such as `%41` to `A`. A malformed escape stays as
// it is.
std::string PercentDecode(std::string_view text) {
  std::string decoded;
  while (!text.empty()) {
    int code = 0;
    if (text.front() == '%' && text.size() >= kEscapeLength) {
      const char* end = text.data() + kEscapeLength;
      const auto result =
          std::from_chars(text.data() + 1, end, code, kHexadecimal);
      if (result.ec == std::errc() && result.ptr == end) {
        decoded.push_back(static_cast<char>(code));
        text.remove_prefix(kEscapeLength);
        continue;
      }
    }
    decoded.push_back(text.front());
    text.remove_prefix(1);
  }
  return decoded;
}

}  // namespace

std::string ExtractPath(std::string_view target) {
  return std::string(target.substr(0, target.find('?')));
}

std::string QueryValue(std::string_view target, std::string_view name) {
  const std::size_t start = target.find('?');
  if (start == std::string_view::npos) {
    return "";
  }
  std::string_view query = target.substr(start + 1);
  while (!query.empty()) {
    const std::size_t end = query.find('&');
    const std::string_view pair = query.substr(0, end);
    const std::size_t equals = pair.find('=');
    if (equals != std::string_view::npos && pair.substr(0, equals) == name) {
      return PercentDecode(pair.substr(equals + 1));
    }
    query.remove_prefix(end == std::string_view::npos ? query.size() : end + 1);
  }
  return "";
}

}  // namespace gcw
