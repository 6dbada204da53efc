#include "bench/block_cache.h"

#include <utility>

namespace gcw::bench {

BlockCache::BlockCache(std::size_t capacity, ChangeHook on_change)
    : capacity_(capacity), on_change_(std::move(on_change)) {}

std::size_t BlockCache::MatchedBlocks(
    const std::vector<PrefixBlock>& blocks) const {
  std::size_t matched = 0;
  while (matched < blocks.size() && places_.contains(blocks[matched])) {
    ++matched;
  }
  return matched;
}

void BlockCache::Touch(const std::vector<PrefixBlock>& blocks) {
  for (auto block = blocks.rbegin(); block != blocks.rend(); ++block) {
    TouchOne(*block);
  }
}

void BlockCache::TouchOne(PrefixBlock block) {
  const auto place = places_.find(block);
  if (place != places_.end()) {
    order_.splice(order_.begin(), order_, place->second);
    return;
  }
  if (places_.size() >= capacity_) {
    const PrefixBlock evicted = order_.back();
    order_.pop_back();
    places_.erase(evicted);
    on_change_(false, evicted);
  }
  order_.push_front(block);
  places_.emplace(block, order_.begin());
  on_change_(true, block);
}

void BlockCache::Clear() {
  order_.clear();
  places_.clear();
}

}  // namespace gcw::bench
