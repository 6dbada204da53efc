#include "programs/gcw_standin/prefix_cache.h"

#include <utility>

namespace gcw {

PrefixCache::PrefixCache(std::size_t capacity_blocks, EventCallback on_event)
    : capacity_blocks_(capacity_blocks), on_event_(std::move(on_event)) {}

std::size_t PrefixCache::MatchPrefix(const std::vector<std::uint64_t>& blocks) {
  std::size_t cached = 0;
  while (cached < blocks.size() && MarkUsed(blocks[cached])) {
    ++cached;
  }
  return cached;
}

void PrefixCache::Store(const std::vector<std::uint64_t>& blocks) {
  for (const std::uint64_t block : blocks) {
    if (capacity_blocks_ == 0 || MarkUsed(block)) {
      continue;
    }
    if (by_block_.size() == capacity_blocks_) {
      EvictLeastRecentlyUsed();
    }
    by_recency_.push_front(block);
    by_block_[block] = by_recency_.begin();
    on_event_(CacheEventKind::kStored, block);
  }
}

void PrefixCache::Clear() {
  while (!by_recency_.empty()) {
    EvictLeastRecentlyUsed();
  }
}

bool PrefixCache::MarkUsed(std::uint64_t block) {
  const auto found = by_block_.find(block);
  if (found == by_block_.end()) {
    return false;
  }
  by_recency_.splice(by_recency_.begin(), by_recency_, found->second);
  return true;
}

void PrefixCache::EvictLeastRecentlyUsed() {
  const std::uint64_t block = by_recency_.back();
  by_recency_.pop_back();
  by_block_.erase(block);
  on_event_(CacheEventKind::kEvicted, block);
}

}  // namespace gcw
