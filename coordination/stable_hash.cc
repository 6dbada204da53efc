#include "coordination/stable_hash.h"

namespace gcw {
namespace {

constexpr std::uint64_t kFnvOffset = 0xcbf29ce484222325;
constexpr std::uint64_t kFnvPrime = 0x100000001b3;

}  // namespace

std::uint64_t StableHash(std::string_view text) {
  std::uint64_t hash = kFnvOffset;
  for (const char character : text) {
    hash = (hash ^ static_cast<unsigned char>(character)) * kFnvPrime;
  }
  // The low bits of FNV-1a are weak for short texts.
  return hash ^ (hash >> 32);
}

}  // namespace gcw
