#ifndef CORE_RANDOM_H_
#define CORE_RANDOM_H_

#include <cstdint>
#include <functional>

namespace gcw {

// Source of uniformly distributed 64-bit numbers. Decisions take it as a hook,
// so that a run is reproducible from its seed.
using Random = std::function<std::uint64_t()>;

// Returns a seeded source with a period of 2^64.
Random SeededRandom(std::uint64_t seed);

// Returns a number uniform in [0, bound); `bound` must be positive.
std::uint64_t DrawBelow(const Random& random, std::uint64_t bound);

// Returns a number uniform in [0, 1).
double DrawUnit(const Random& random);

}  // namespace gcw

#endif  // CORE_RANDOM_H_
