#include "protocol/hex.h"

namespace gcw {
namespace {

constexpr std::string_view kDigits = "0123456789abcdef";
constexpr std::size_t kDigitCount = 16;
constexpr unsigned kBitsPerDigit = 4;

}  // namespace

std::string ToHex(std::uint64_t number) {
  std::string text(kDigitCount, '0');
  for (std::size_t i = kDigitCount; i > 0; --i) {
    text[i - 1] = kDigits[number % kDigits.size()];
    number >>= kBitsPerDigit;
  }
  return text;
}

std::optional<std::uint64_t> ParseHex(std::string_view text) {
  if (text.size() != kDigitCount) {
    return std::nullopt;
  }
  std::uint64_t number = 0;
  for (const char character : text) {
    const std::size_t digit = kDigits.find(character);
    if (digit == std::string_view::npos) {
      return std::nullopt;
    }
    number = (number << kBitsPerDigit) | digit;
  }
  return number;
}

}  // namespace gcw
