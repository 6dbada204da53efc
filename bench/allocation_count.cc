#include "bench/allocation_count.h"

#include <atomic>
#include <cstdlib>
#include <new>

namespace {

std::atomic<std::int64_t> allocation_count = 0;

}  // namespace

void* operator new(std::size_t size) {
  allocation_count.fetch_add(1, std::memory_order_relaxed);
  if (void* memory = std::malloc(size)) {
    return memory;
  }
  throw std::bad_alloc();
}

void operator delete(void* memory) noexcept {
  std::free(memory);
}

void operator delete(void* memory, std::size_t) noexcept {
  std::free(memory);
}

namespace gcw::bench {

std::int64_t AllocationCount() {
  return allocation_count.load(std::memory_order_relaxed);
}

}  // namespace gcw::bench
