#ifndef BENCH_BLOCK_CACHE_H_
#define BENCH_BLOCK_CACHE_H_

#include <cstdint>
#include <functional>
#include <list>
#include <unordered_map>
#include <vector>

#include "coordination/coordination.h"

namespace gcw::bench {

// A model engine's prefix cache: blocks in order of use, of which the least
// recently used make room for new ones.
class BlockCache {
 public:
  // Called with each block that enters (`stored`) or leaves.
  using ChangeHook = std::function<void(bool stored, PrefixBlock)>;

  BlockCache(std::size_t capacity, ChangeHook on_change);

  // How many leading blocks are held.
  std::size_t MatchedBlocks(const std::vector<PrefixBlock>& blocks) const;
  // Uses or stores all blocks; the first ones count as used last, so that a
  // chain is evicted from its end.
  void Touch(const std::vector<PrefixBlock>& blocks);
  void Clear();
  std::size_t size() const { return places_.size(); }
  std::size_t capacity() const { return capacity_; }

 private:
  void TouchOne(PrefixBlock block);

  std::size_t capacity_;
  ChangeHook on_change_;
  // Most recently used first.
  std::list<PrefixBlock> order_;
  std::unordered_map<PrefixBlock, std::list<PrefixBlock>::iterator> places_;
};

}  // namespace gcw::bench

#endif  // BENCH_BLOCK_CACHE_H_
