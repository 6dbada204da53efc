#ifndef STATE_PREFIX_BLOCK_H_
#define STATE_PREFIX_BLOCK_H_

#include <cstdint>

namespace gcw {

// Hash of a prompt up to the end of a block; see docs/PLATFORM.md.
using PrefixBlock = std::uint64_t;

}  // namespace gcw

#endif  // STATE_PREFIX_BLOCK_H_
