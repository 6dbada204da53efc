#ifndef PROTOCOL_UTF8_H_
#define PROTOCOL_UTF8_H_

#include <string>
#include <string_view>

namespace gcw {

// Whether the text is well-formed UTF-8 (RFC 3629: no overlong forms, no
// surrogates, nothing above U+10FFFF).
bool IsValidUtf8(std::string_view text);

// The text with each byte that is not part of a well-formed sequence replaced
// by U+FFFD. Text from outside may hold any bytes, and the JSON library writes
// them as they are: one such byte in a log line or time line would make readers
// refuse all of it.
std::string ReplaceInvalidUtf8(std::string_view text);

}  // namespace gcw

#endif  // PROTOCOL_UTF8_H_
