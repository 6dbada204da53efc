#include "protocol/reference_answer.h"

#include "protocol/hex.h"
#include "protocol/prefix_blocks.h"

namespace gcw {
namespace {

constexpr std::size_t kHashDigits = 8;

}  // namespace

std::string ReferenceToken(std::uint64_t prompt_hash, std::int64_t index) {
  std::string token = index == 0 ? "w" : " w";
  token += std::to_string(index);
  token += '-';
  token += ToHex(prompt_hash).substr(0, kHashDigits);
  return token;
}

std::string ReferenceToken(std::string_view prompt, std::int64_t index) {
  return ReferenceToken(Xxh3Hash(prompt), index);
}

std::string ReferenceAnswer(std::string_view prompt, TokenCount tokens) {
  const std::uint64_t hash = Xxh3Hash(prompt);
  std::string answer;
  for (std::int64_t index = 0; index < tokens.value(); ++index) {
    answer += ReferenceToken(hash, index);
  }
  return answer;
}

}  // namespace gcw
