#include "protocol/prefix_blocks.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace gcw {
namespace {

// Hashes a text that grows, so that all blocks cost one pass over the prompt.
class PrefixHash {
 public:
  PrefixHash() { XXH3_64bits_reset(&state_); }

  std::uint64_t Append(std::string_view text) {
    XXH3_64bits_update(&state_, text.data(), text.size());
    return XXH3_64bits_digest(&state_);
  }

 private:
  XXH3_state_t state_;
};

}  // namespace

std::vector<std::uint64_t> PrefixBlocks(std::string_view prompt) {
  std::vector<std::uint64_t> blocks;
  blocks.reserve(prompt.size() / kPrefixBlockBytes);
  PrefixHash hash;
  while (prompt.size() >= kPrefixBlockBytes) {
    blocks.push_back(hash.Append(prompt.substr(0, kPrefixBlockBytes)));
    prompt.remove_prefix(kPrefixBlockBytes);
  }
  return blocks;
}

std::uint64_t Xxh3Hash(std::string_view text) {
  return XXH3_64bits(text.data(), text.size());
}

}  // namespace gcw
