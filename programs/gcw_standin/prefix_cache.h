#ifndef PROGRAMS_GCW_STANDIN_PREFIX_CACHE_H_
#define PROGRAMS_GCW_STANDIN_PREFIX_CACHE_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <unordered_map>
#include <vector>

#include "state/state.h"

namespace gcw {

// The prefix blocks that an engine keeps in limited memory. If it is full, the
// least recently used block is evicted.
class PrefixCache {
 public:
  using EventCallback =
      std::function<void(CacheEventKind, std::uint64_t block)>;

  PrefixCache(std::size_t capacity_blocks, EventCallback on_event);

  // Returns how many leading blocks are cached, and marks them as used.
  std::size_t MatchPrefix(const std::vector<std::uint64_t>& blocks);
  void Store(const std::vector<std::uint64_t>& blocks);
  void Clear();

  std::size_t size() const { return by_block_.size(); }
  std::size_t capacity() const { return capacity_blocks_; }

 private:
  using RecencyList = std::list<std::uint64_t>;

  bool MarkUsed(std::uint64_t block);
  void EvictLeastRecentlyUsed();

  std::size_t capacity_blocks_;
  EventCallback on_event_;
  // The most recently used block comes first.
  RecencyList by_recency_;
  std::unordered_map<std::uint64_t, RecencyList::iterator> by_block_;
};

}  // namespace gcw

#endif  // PROGRAMS_GCW_STANDIN_PREFIX_CACHE_H_
