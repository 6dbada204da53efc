#ifndef PROTOCOL_PREFIX_BLOCKS_H_
#define PROTOCOL_PREFIX_BLOCKS_H_

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace gcw {

// Bytes of the prompt in one block of a model engine's prefix cache.
inline constexpr std::size_t kPrefixBlockBytes = 64;

// Returns one hash per whole block, in order: XXH3-64 with seed 0 over the
// prompt up to the block's end. Equal hashes mean equal prompts up to that
// point.
std::vector<std::uint64_t> PrefixBlocks(std::string_view prompt);

// Returns the XXH3-64 hash of `text` with seed 0.
std::uint64_t Xxh3Hash(std::string_view text);

}  // namespace gcw

#endif  // PROTOCOL_PREFIX_BLOCKS_H_
