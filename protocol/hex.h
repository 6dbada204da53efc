#ifndef PROTOCOL_HEX_H_
#define PROTOCOL_HEX_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace gcw {

// Returns 16 lower-case hexadecimal digits.
std::string ToHex(std::uint64_t number);
// Returns nullopt unless `text` is exactly 16 lower-case hexadecimal digits.
std::optional<std::uint64_t> ParseHex(std::string_view text);

}  // namespace gcw

#endif  // PROTOCOL_HEX_H_
