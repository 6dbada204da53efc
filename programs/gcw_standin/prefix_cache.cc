#include "programs/gcw_standin/prefix_cache.h"

#include <utility>

namespace gcw {

PrefixCache::PrefixCache(std::size_t capacity_blocks, Sink sink)
    : capacity_blocks_(capacity_blocks), sink_(std::move(sink)) {}

std::size_t PrefixCache::Touch(const std::vector<std::uint64_t>& blocks) {
  std::size_t cached = 0;
  while (cached < blocks.size() && Use(blocks[cached])) {
    ++cached;
  }
  return cached;
}

void PrefixCache::Store(const std::vector<std::uint64_t>& blocks) {
  for (const std::uint64_t block : blocks) {
    if (capacity_blocks_ == 0 || Use(block)) {
      continue;
    }
    if (by_block_.size() == capacity_blocks_) {
      EvictOldest();
    }
    order_.push_front(block);
    by_block_[block] = order_.begin();
    sink_(CacheEventKind::kStored, block);
  }
}

void PrefixCache::Clear() {
  while (!order_.empty()) {
    EvictOldest();
  }
}

bool PrefixCache::Use(std::uint64_t block) {
  const auto found = by_block_.find(block);
  if (found == by_block_.end()) {
    return false;
  }
  order_.splice(order_.begin(), order_, found->second);
  return true;
}

void PrefixCache::EvictOldest() {
  const std::uint64_t block = order_.back();
  order_.pop_back();
  by_block_.erase(block);
  sink_(CacheEventKind::kEvicted, block);
}

}  // namespace gcw
