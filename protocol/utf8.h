#ifndef PROTOCOL_UTF8_H_
#define PROTOCOL_UTF8_H_

#include <string>
#include <string_view>

namespace gcw {

// True if the text is well-formed UTF-8 (RFC 3629: no overlong forms, no
// surrogates, nothing above U+10FFFF).
bool IsValidUtf8(std::string_view text);

// Returns the text with each byte that is not part of a well-formed sequence
// replaced by U+FFFD. Text from outside may contain any bytes, and the JSON
// library writes them unchanged. A single invalid byte in a log line or time
// line would make readers reject all of it.
std::string ReplaceInvalidUtf8(std::string_view text);

}  // namespace gcw

#endif  // PROTOCOL_UTF8_H_
