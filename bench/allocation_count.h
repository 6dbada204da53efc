#ifndef BENCH_ALLOCATION_COUNT_H_
#define BENCH_ALLOCATION_COUNT_H_

#include <cstdint>

namespace gcw::bench {

// Returns the number of allocations of this process so far. Linking this
// function replaces the program's `operator new` with a counting one.
std::int64_t AllocationCount();

}  // namespace gcw::bench

#endif  // BENCH_ALLOCATION_COUNT_H_
