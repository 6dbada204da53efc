#ifndef COORDINATION_STABLE_HASH_H_
#define COORDINATION_STABLE_HASH_H_

#include <cstdint>
#include <string_view>

namespace gcw {

// FNV-1a with its high bits mixed in. Used instead of `std::hash`, whose values
// may differ between builds, if all nodes must get the same result.
std::uint64_t StableHash(std::string_view text);

}  // namespace gcw

#endif  // COORDINATION_STABLE_HASH_H_
