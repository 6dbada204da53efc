#ifndef STATE_PREFIX_INDEX_H_
#define STATE_PREFIX_INDEX_H_

#include <cstdint>
#include <span>
#include <vector>

#include "core/core.h"
#include "state/cache_event.h"
#include "state/prefix_block.h"

namespace gcw {

// Number, from 0, of an endpoint that a node connects to. Sets of endpoints are
// bit masks of these numbers.
using EndpointSlot = StrongNumber<struct EndpointSlotTag>;

// Part of a prompt that an endpoint probably has in its cache.
struct PrefixMatch {
  EndpointSlot slot;
  // Number of leading blocks.
  std::int64_t blocks = 0;
  // The entry dates from before a gap in the endpoint's cache events and was
  // not confirmed since.
  bool is_unconfirmed = false;
};

struct PrefixIndexSettings {
  // All slots are below this number.
  std::int64_t max_endpoints = 128;
  // Maximum number of blocks, rounded up to a power of two. A block takes 12 +
  // max_endpoints / 4 bytes.
  std::int64_t max_blocks = 262144;
  // How long an unconfirmed entry is kept.
  Duration unconfirmed_ttl = Duration::Seconds(60);
};

// Estimates which endpoint has which prompt blocks in its cache, from this
// node's dispatches and from the cache events that engines report with a delay.
// A wrong entry costs time to first token but never changes an answer.
//
// Engines lose cache events. If the event of an eviction is lost, the entry
// would attract requests to the endpoint forever. So after a gap in the events,
// all entries of the endpoint become unconfirmed, and those that no later event
// or dispatch confirms within `unconfirmed_ttl` are dropped.
class PrefixIndex {
 public:
  explicit PrefixIndex(const PrefixIndexSettings& settings);

  // Records that the endpoint will hold these blocks, since it was sent a
  // prompt with them.
  void OnDispatched(Time now,
                    EndpointSlot slot,
                    std::span<const PrefixBlock> blocks);
  // Applies events that are new; returns false if some were missing.
  bool OnCacheEvents(Time now, EndpointSlot slot, const CacheEventBatch& batch);
  // Drops all entries of an endpoint that left or came back as a new
  // generation.
  void Forget(EndpointSlot slot);
  // Drops entries that stayed unconfirmed for too long.
  void Tick(Time now);

  // Writes one match for each endpoint that holds at least the first block,
  // longest match first. Costs O(log blocks) lookups per distinct match length.
  void Match(std::span<const PrefixBlock> blocks,
             std::vector<PrefixMatch>& matches);

  std::int64_t known_blocks() const { return known_blocks_; }
  std::size_t memory_bytes() const;

 private:
  using Word = std::uint64_t;

  struct SlotState {
    std::int64_t last_sequence = 0;
    bool has_sequence = false;
    bool has_unconfirmed = false;
    Time unconfirmed_since;
  };

  static constexpr std::size_t kWays = 8;
  static constexpr std::size_t kNotFound = static_cast<std::size_t>(-1);

  std::size_t BucketOf(PrefixBlock block) const;
  std::size_t Find(PrefixBlock block) const;
  // Returns the block's entry. A new entry replaces the least recently used one
  // of its bucket. Returns `kNotFound` if all entries of the bucket are more
  // recent than `stamp`.
  std::size_t FindOrReplace(PrefixBlock block, std::uint32_t stamp);
  void Store(EndpointSlot slot, PrefixBlock block, std::uint32_t stamp);
  void Apply(EndpointSlot slot, const CacheEvent& event);
  void MarkUnconfirmed(Time now, EndpointSlot slot);
  // Marks the entries of the endpoints in `pending_unconfirm_` as unconfirmed,
  // and drops the unconfirmed entries of the endpoints in `drop`.
  void Sweep(std::span<const Word> drop);
  void FreeIfUnheld(std::size_t entry);
  std::size_t DeepestUnmatched(std::span<const PrefixBlock> blocks) const;
  bool HasUnmatchedHolder(std::size_t entry) const;
  void AppendHolders(std::size_t entry,
                     std::size_t depth,
                     std::vector<PrefixMatch>& matches);
  std::span<Word> HeldMask(std::size_t entry);
  std::span<const Word> HeldMask(std::size_t entry) const;
  std::span<Word> ConfirmedMask(std::size_t entry);
  std::span<const Word> ConfirmedMask(std::size_t entry) const;

  Duration unconfirmed_ttl_;
  // Number of words in a mask of endpoints.
  std::size_t words_per_mask_;
  std::size_t bucket_mask_;
  // Entry i consists of a block, the stamp of its last use and two masks in
  // `masks_`: held and confirmed. A stamp of 0 marks a free entry.
  std::vector<PrefixBlock> blocks_;
  std::vector<std::uint32_t> stamps_;
  std::vector<Word> masks_;
  std::uint32_t next_stamp_ = 1;
  std::int64_t known_blocks_ = 0;
  std::vector<SlotState> slots_;
  // Endpoints whose entries the next sweep marks as unconfirmed.
  std::vector<Word> pending_unconfirm_;
  Time next_sweep_;
  // Endpoints that the current match has found.
  std::vector<Word> matched_;
};

}  // namespace gcw

#endif  // STATE_PREFIX_INDEX_H_
