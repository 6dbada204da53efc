#ifndef BENCH_BLOCK_CACHE_H_
#define BENCH_BLOCK_CACHE_H_

#include <cstdint>
#include <functional>
#include <list>
#include <unordered_map>
#include <vector>

#include "coordination/coordination.h"

namespace gcw::bench {

// An LRU model of an engine's prefix cache: storing a block in a full cache
// evicts the least recently used one.
class BlockCache {
 public:
  // Called for each block that is stored (`stored` is true) or evicted.
  using ChangeHook = std::function<void(bool stored, PrefixBlock)>;

  BlockCache(std::size_t capacity, ChangeHook on_change);

  // Returns how many leading blocks of `blocks` are cached.
  std::size_t MatchedBlocks(const std::vector<PrefixBlock>& blocks) const;
  // Marks all blocks as used and stores the missing ones. The first blocks
  // become the most recently used, so that a chain is evicted from its end.
  void UseOrStore(const std::vector<PrefixBlock>& blocks);
  void Clear();
  std::size_t size() const { return positions_.size(); }
  std::size_t capacity() const { return capacity_; }

 private:
  void UseOrStoreBlock(PrefixBlock block);

  std::size_t capacity_;
  ChangeHook on_change_;
  // Most recently used first.
  std::list<PrefixBlock> lru_order_;
  std::unordered_map<PrefixBlock, std::list<PrefixBlock>::iterator> positions_;
};

}  // namespace gcw::bench

#endif  // BENCH_BLOCK_CACHE_H_
