#include "protocol/utf8.h"

#include <cstddef>

namespace gcw {
namespace {

constexpr std::string_view kReplacementCharacter = "\xef\xbf\xbd";

bool IsBetween(unsigned char byte, unsigned char low, unsigned char high) {
  return byte >= low && byte <= high;
}

// Returns the length of the well-formed sequence at the start of `text`, or 0
// if there is none.
std::size_t SequenceLength(std::string_view text) {
  const auto byte = [text](std::size_t index) {
    return index < text.size() ? static_cast<unsigned char>(text[index])
                               : static_cast<unsigned char>(0);
  };
  const auto is_continuation = [&byte](std::size_t index) {
    return IsBetween(byte(index), 0x80, 0xbf);
  };
  const unsigned char lead = byte(0);
  if (lead < 0x80) {
    return 1;
  }
  if (IsBetween(lead, 0xc2, 0xdf)) {
    return is_continuation(1) ? 2 : 0;
  }
  // The bounds of the second byte exclude overlong forms, surrogates and code
  // points above U+10FFFF.
  if (IsBetween(lead, 0xe0, 0xef)) {
    const unsigned char low = lead == 0xe0 ? 0xa0 : 0x80;
    const unsigned char high = lead == 0xed ? 0x9f : 0xbf;
    return IsBetween(byte(1), low, high) && is_continuation(2) ? 3 : 0;
  }
  if (IsBetween(lead, 0xf0, 0xf4)) {
    const unsigned char low = lead == 0xf0 ? 0x90 : 0x80;
    const unsigned char high = lead == 0xf4 ? 0x8f : 0xbf;
    const bool tail = is_continuation(2) && is_continuation(3);
    return IsBetween(byte(1), low, high) && tail ? 4 : 0;
  }
  return 0;
}

}  // namespace

bool IsValidUtf8(std::string_view text) {
  while (!text.empty()) {
    const std::size_t length = SequenceLength(text);
    if (length == 0) {
      return false;
    }
    text.remove_prefix(length);
  }
  return true;
}

std::string ReplaceInvalidUtf8(std::string_view text) {
  std::string valid;
  valid.reserve(text.size());
  while (!text.empty()) {
    const std::size_t length = SequenceLength(text);
    if (length == 0) {
      valid += kReplacementCharacter;
      text.remove_prefix(1);
    } else {
      valid += text.substr(0, length);
      text.remove_prefix(length);
    }
  }
  return valid;
}

}  // namespace gcw
