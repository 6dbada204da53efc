#ifndef STATE_PREFIX_INDEX_H_
#define STATE_PREFIX_INDEX_H_

#include <cstdint>
#include <span>
#include <vector>

#include "core/core.h"
#include "state/cache_event.h"
#include "state/prefix_block.h"

namespace gcw {

// Numbers the endpoints that a node connects to from 0, so that sets of them
// are bit masks.
using EndpointSlot = StrongNumber<struct EndpointSlotTag>;

// How much of a prompt an endpoint is believed to hold.
struct PrefixMatch {
  EndpointSlot slot;
  // Leading blocks.
  std::int64_t blocks = 0;
  // The belief dates from before a gap in the endpoint's cache events.
  bool is_doubtful = false;
};

struct PrefixIndexSettings {
  // Slots from 0 up to this number.
  std::int64_t max_endpoints = 128;
  // Blocks remembered at most, rounded up to a power of two. One takes
  // 12 + max_endpoints / 4 bytes.
  std::int64_t max_blocks = 262144;
  // How long an entry that became doubtful is kept unless confirmed.
  Duration doubt_span = Duration::Seconds(60);
};

// Which endpoint holds which blocks of prompts, from this node's dispatches and
// from the engines' late cache events. All of it is belief: a wrong entry costs
// time to first token, never an answer.
//
// Engines lose cache events. Without a mark, an eviction that was lost would
// leave an entry that draws requests to an endpoint for ever. So after a gap
// all that was known of the endpoint is doubtful, and what no later event or
// dispatch confirms within `doubt_span` is dropped.
class PrefixIndex {
 public:
  explicit PrefixIndex(const PrefixIndexSettings& settings);

  // The endpoint will hold these blocks, since it was sent a prompt with them.
  void OnDispatched(Time now,
                    EndpointSlot slot,
                    std::span<const PrefixBlock> blocks);
  // Applies events that are new; returns false where some were missing.
  bool OnCacheEvents(Time now, EndpointSlot slot, const CacheEventBatch& batch);
  // The endpoint left or came back as a new generation: it holds nothing.
  void Forget(EndpointSlot slot);
  // Drops what stayed doubtful for too long.
  void Tick(Time now);

  // Writes one match for each endpoint that holds at least the first block,
  // the longest first. Costs O(log blocks) look-ups for each different length.
  void Match(std::span<const PrefixBlock> blocks,
             std::vector<PrefixMatch>& matches);

  std::int64_t known_blocks() const { return known_blocks_; }
  std::size_t memory_bytes() const;

 private:
  using Word = std::uint64_t;

  struct SlotState {
    std::int64_t last_sequence = 0;
    bool has_sequence = false;
    bool is_doubtful = false;
    Time doubtful_since;
  };

  static constexpr std::size_t kWays = 8;
  static constexpr std::size_t kNotFound = static_cast<std::size_t>(-1);

  std::size_t BucketOf(PrefixBlock block) const;
  std::size_t Find(PrefixBlock block) const;
  // The block's entry, made in place of the least recently used one of its
  // bucket; `kNotFound` where all of those are more recent than `stamp`.
  std::size_t FindOrReplace(PrefixBlock block, std::uint32_t stamp);
  void Store(EndpointSlot slot, PrefixBlock block, std::uint32_t stamp);
  void Apply(EndpointSlot slot, const CacheEvent& event);
  void MarkDoubtful(Time now, EndpointSlot slot);
  // Takes the confirmation from the entries of endpoints in `unconfirm_`, and
  // drops unconfirmed entries of those in `drop`.
  void Sweep(std::span<const Word> drop);
  void DropIfUnheld(std::size_t entry);
  std::size_t DeepestHeld(std::span<const PrefixBlock> blocks) const;
  bool HoldsUnseen(std::size_t entry) const;
  void AppendHolders(std::size_t entry,
                     std::size_t depth,
                     std::vector<PrefixMatch>& matches);
  std::span<Word> Held(std::size_t entry);
  std::span<const Word> Held(std::size_t entry) const;
  std::span<Word> Confirmed(std::size_t entry);
  std::span<const Word> Confirmed(std::size_t entry) const;

  Duration doubt_span_;
  // Words in one mask of endpoints.
  std::size_t words_;
  std::size_t bucket_mask_;
  // Entry i: block, use stamp, and two masks in `masks_`. A stamp of 0 marks a
  // free entry.
  std::vector<PrefixBlock> blocks_;
  std::vector<std::uint32_t> stamps_;
  std::vector<Word> masks_;
  std::uint32_t next_stamp_ = 1;
  std::int64_t known_blocks_ = 0;
  std::vector<SlotState> slots_;
  // Endpoints whose entries become doubtful with the next sweep.
  std::vector<Word> unconfirm_;
  Time next_sweep_;
  // Endpoints that the match under way has found.
  std::vector<Word> seen_;
};

}  // namespace gcw

#endif  // STATE_PREFIX_INDEX_H_
