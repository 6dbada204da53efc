#include "state/prefix_index.h"

#include <algorithm>
#include <bit>

namespace gcw {
namespace {

constexpr std::size_t kWordBits = 64;
// Stamp of entries that come only from cache events. Entries from this node's
// own requests have later stamps, so that other nodes' sessions never evict
// them.
constexpr std::uint32_t kEventStamp = 1;
constexpr Duration kSweepPeriod = Duration::Seconds(1);

std::size_t WordOf(EndpointSlot slot) {
  return static_cast<std::size_t>(slot.value()) / kWordBits;
}

std::uint64_t BitOf(EndpointSlot slot) {
  return std::uint64_t{1} << (static_cast<std::size_t>(slot.value()) %
                              kWordBits);
}

}  // namespace

PrefixIndex::PrefixIndex(const PrefixIndexSettings& settings)
    : unconfirmed_ttl_(settings.unconfirmed_ttl),
      words_per_mask_(
          (static_cast<std::size_t>(settings.max_endpoints) + kWordBits - 1) /
          kWordBits) {
  const auto requested = static_cast<std::size_t>(settings.max_blocks);
  const std::size_t entries = std::bit_ceil(std::max(requested, kWays));
  bucket_mask_ = entries / kWays - 1;
  blocks_.resize(entries);
  stamps_.resize(entries);
  masks_.resize(entries * words_per_mask_ * 2);
  slots_.resize(words_per_mask_ * kWordBits);
  pending_unconfirm_.resize(words_per_mask_);
  matched_.resize(words_per_mask_);
}

void PrefixIndex::OnDispatched(Time /*now*/,
                               EndpointSlot slot,
                               std::span<const PrefixBlock> blocks) {
  ++next_stamp_;
  for (const PrefixBlock block : blocks) {
    Store(slot, block, next_stamp_);
  }
}

bool PrefixIndex::OnCacheEvents(Time now,
                                EndpointSlot slot,
                                const CacheEventBatch& batch) {
  SlotState& state = slots_[static_cast<std::size_t>(slot.value())];
  // A sequence number that goes back means that the engine restarted with an
  // empty cache.
  if (state.has_sequence && batch.next <= state.last_sequence) {
    Forget(slot);
  }
  bool is_complete = true;
  if (state.has_sequence && batch.first > state.last_sequence + 1) {
    is_complete = false;
  }
  for (const CacheEvent& event : batch.events) {
    if (state.has_sequence && event.sequence <= state.last_sequence) {
      continue;
    }
    if (state.has_sequence && event.sequence != state.last_sequence + 1) {
      is_complete = false;
    }
    state.has_sequence = true;
    state.last_sequence = event.sequence;
  }
  if (!is_complete) {
    MarkUnconfirmed(now, slot);
  }
  for (const CacheEvent& event : batch.events) {
    Apply(slot, event);
  }
  state.has_sequence = true;
  state.last_sequence = std::max(state.last_sequence, batch.next - 1);
  return is_complete;
}

void PrefixIndex::Apply(EndpointSlot slot, const CacheEvent& event) {
  if (event.kind == CacheEventKind::kStored) {
    Store(slot, event.block, kEventStamp);
    return;
  }
  const std::size_t entry = Find(event.block);
  if (entry != kNotFound) {
    HeldMask(entry)[WordOf(slot)] &= ~BitOf(slot);
    FreeIfUnheld(entry);
  }
}

void PrefixIndex::Store(EndpointSlot slot,
                        PrefixBlock block,
                        std::uint32_t stamp) {
  const std::size_t entry = FindOrReplace(block, stamp);
  if (entry == kNotFound) {
    return;
  }
  stamps_[entry] = std::max(stamps_[entry], stamp);
  HeldMask(entry)[WordOf(slot)] |= BitOf(slot);
  ConfirmedMask(entry)[WordOf(slot)] |= BitOf(slot);
}

void PrefixIndex::Forget(EndpointSlot slot) {
  for (std::size_t entry = 0; entry < blocks_.size(); ++entry) {
    HeldMask(entry)[WordOf(slot)] &= ~BitOf(slot);
    FreeIfUnheld(entry);
  }
  slots_[static_cast<std::size_t>(slot.value())] = SlotState();
}

void PrefixIndex::MarkUnconfirmed(Time now, EndpointSlot slot) {
  SlotState& state = slots_[static_cast<std::size_t>(slot.value())];
  // Entries that are already unconfirmed keep their age; otherwise a gap every
  // few seconds would keep old entries forever.
  if (!state.has_unconfirmed) {
    state.has_unconfirmed = true;
    state.unconfirmed_since = now;
  }
  pending_unconfirm_[WordOf(slot)] |= BitOf(slot);
}

void PrefixIndex::Tick(Time now) {
  if (now < next_sweep_) {
    return;
  }
  next_sweep_ = now + kSweepPeriod;
  std::vector<Word> drop(words_per_mask_);
  for (std::size_t index = 0; index < slots_.size(); ++index) {
    SlotState& state = slots_[index];
    if (state.has_unconfirmed &&
        now - state.unconfirmed_since >= unconfirmed_ttl_) {
      state.has_unconfirmed = false;
      drop[index / kWordBits] |= Word{1} << (index % kWordBits);
    }
  }
  Sweep(drop);
}

// One pass over the table serves all endpoints that wait for it. A pass for
// each gap would take processor time in proportion to the number of gaps.
void PrefixIndex::Sweep(std::span<const Word> drop) {
  const auto is_zero = [](Word word) { return word == 0; };
  const bool has_drop = !std::ranges::all_of(drop, is_zero);
  if (!has_drop && std::ranges::all_of(pending_unconfirm_, is_zero)) {
    return;
  }
  for (std::size_t entry = 0; entry < blocks_.size(); ++entry) {
    const std::span<Word> held = HeldMask(entry);
    const std::span<Word> confirmed = ConfirmedMask(entry);
    for (std::size_t word = 0; word < words_per_mask_; ++word) {
      confirmed[word] &= ~pending_unconfirm_[word];
      held[word] &= confirmed[word] | ~drop[word];
    }
    if (has_drop) {
      FreeIfUnheld(entry);
    }
  }
  std::ranges::fill(pending_unconfirm_, 0);
}

void PrefixIndex::Match(std::span<const PrefixBlock> blocks,
                        std::vector<PrefixMatch>& matches) {
  matches.clear();
  std::fill(matched_.begin(), matched_.end(), 0);
  std::size_t depth = DeepestUnmatched(blocks);
  while (depth > 0) {
    AppendHolders(Find(blocks[depth - 1]), depth, matches);
    depth = DeepestUnmatched(blocks.first(depth - 1));
  }
}

// An endpoint that holds a block nearly always holds the blocks before it, so
// bisection finds the greatest depth that an endpoint outside `matched_`
// reaches. If an endpoint's entries have holes, its match may be too short,
// which only costs time.
std::size_t PrefixIndex::DeepestUnmatched(
    std::span<const PrefixBlock> blocks) const {
  std::size_t low = 0;
  std::size_t high = blocks.size();
  while (low < high) {
    const std::size_t middle = (low + high + 1) / 2;
    if (HasUnmatchedHolder(Find(blocks[middle - 1]))) {
      low = middle;
    } else {
      high = middle - 1;
    }
  }
  return low;
}

bool PrefixIndex::HasUnmatchedHolder(std::size_t entry) const {
  if (entry == kNotFound) {
    return false;
  }
  const std::span<const Word> held = HeldMask(entry);
  for (std::size_t word = 0; word < words_per_mask_; ++word) {
    if ((held[word] & ~matched_[word]) != 0) {
      return true;
    }
  }
  return false;
}

void PrefixIndex::AppendHolders(std::size_t entry,
                                std::size_t depth,
                                std::vector<PrefixMatch>& matches) {
  const std::span<const Word> held = HeldMask(entry);
  const std::span<const Word> confirmed = ConfirmedMask(entry);
  for (std::size_t word = 0; word < words_per_mask_; ++word) {
    Word unmatched = held[word] & ~matched_[word];
    matched_[word] |= unmatched;
    while (unmatched != 0) {
      const auto bit = static_cast<std::size_t>(std::countr_zero(unmatched));
      const Word mask = Word{1} << bit;
      unmatched &= ~mask;
      const auto slot = static_cast<std::int64_t>(word * kWordBits + bit);
      matches.push_back({.slot = EndpointSlot(slot),
                         .blocks = static_cast<std::int64_t>(depth),
                         .is_unconfirmed = (confirmed[word] & mask) == 0});
    }
  }
}

std::size_t PrefixIndex::Find(PrefixBlock block) const {
  const std::size_t bucket = BucketOf(block);
  for (std::size_t entry = bucket; entry < bucket + kWays; ++entry) {
    if (blocks_[entry] == block && stamps_[entry] != 0) {
      return entry;
    }
  }
  return kNotFound;
}

std::size_t PrefixIndex::FindOrReplace(PrefixBlock block, std::uint32_t stamp) {
  const std::size_t found = Find(block);
  if (found != kNotFound) {
    return found;
  }
  const std::size_t bucket = BucketOf(block);
  std::size_t oldest = bucket;
  for (std::size_t entry = bucket + 1; entry < bucket + kWays; ++entry) {
    if (stamps_[entry] < stamps_[oldest]) {
      oldest = entry;
    }
  }
  if (stamps_[oldest] > stamp) {
    return kNotFound;
  }
  known_blocks_ += stamps_[oldest] == 0 ? 1 : 0;
  blocks_[oldest] = block;
  stamps_[oldest] = stamp;
  std::ranges::fill(HeldMask(oldest), 0);
  std::ranges::fill(ConfirmedMask(oldest), 0);
  return oldest;
}

void PrefixIndex::FreeIfUnheld(std::size_t entry) {
  if (stamps_[entry] == 0) {
    return;
  }
  const std::span<const Word> held = HeldMask(entry);
  if (std::ranges::all_of(held, [](Word word) { return word == 0; })) {
    stamps_[entry] = 0;
    --known_blocks_;
  }
}

std::size_t PrefixIndex::BucketOf(PrefixBlock block) const {
  return (static_cast<std::size_t>(block) & bucket_mask_) * kWays;
}

std::span<PrefixIndex::Word> PrefixIndex::HeldMask(std::size_t entry) {
  return {masks_.data() + entry * words_per_mask_ * 2, words_per_mask_};
}

std::span<const PrefixIndex::Word> PrefixIndex::HeldMask(
    std::size_t entry) const {
  return {masks_.data() + entry * words_per_mask_ * 2, words_per_mask_};
}

std::span<PrefixIndex::Word> PrefixIndex::ConfirmedMask(std::size_t entry) {
  return {masks_.data() + (entry * 2 + 1) * words_per_mask_, words_per_mask_};
}

std::span<const PrefixIndex::Word> PrefixIndex::ConfirmedMask(
    std::size_t entry) const {
  return {masks_.data() + (entry * 2 + 1) * words_per_mask_, words_per_mask_};
}

std::size_t PrefixIndex::memory_bytes() const {
  return blocks_.size() * (sizeof(PrefixBlock) + sizeof(std::uint32_t)) +
         masks_.size() * sizeof(Word) + slots_.size() * sizeof(SlotState);
}

}  // namespace gcw
