#include "bench/block_cache.h"

#include <utility>

namespace gcw::bench {

BlockCache::BlockCache(std::size_t capacity, ChangeHook on_change)
    : capacity_(capacity), on_change_(std::move(on_change)) {
  positions_.reserve(capacity);
}

std::size_t BlockCache::MatchedBlocks(
    const std::vector<PrefixBlock>& blocks) const {
  std::size_t matched = 0;
  while (matched < blocks.size() && positions_.contains(blocks[matched])) {
    ++matched;
  }
  return matched;
}

void BlockCache::UseOrStore(const std::vector<PrefixBlock>& blocks) {
  for (auto block = blocks.rbegin(); block != blocks.rend(); ++block) {
    UseOrStoreBlock(*block);
  }
}

void BlockCache::UseOrStoreBlock(PrefixBlock block) {
  const auto position = positions_.find(block);
  if (position != positions_.end()) {
    lru_order_.splice(lru_order_.begin(), lru_order_, position->second);
    return;
  }
  if (positions_.size() >= capacity_) {
    const PrefixBlock evicted = lru_order_.back();
    lru_order_.pop_back();
    positions_.erase(evicted);
    on_change_(false, evicted);
  }
  lru_order_.push_front(block);
  positions_.emplace(block, lru_order_.begin());
  on_change_(true, block);
}

void BlockCache::Clear() {
  lru_order_.clear();
  positions_.clear();
}

}  // namespace gcw::bench
