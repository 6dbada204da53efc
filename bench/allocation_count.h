#ifndef BENCH_ALLOCATION_COUNT_H_
#define BENCH_ALLOCATION_COUNT_H_

#include <cstdint>

namespace gcw::bench {

// Allocations of this process so far. A program that calls this has its
// `operator new` replaced by one that counts.
std::int64_t AllocationCount();

}  // namespace gcw::bench

#endif  // BENCH_ALLOCATION_COUNT_H_
