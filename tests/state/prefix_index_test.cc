#include "state/prefix_index.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <map>
#include <set>
#include <vector>

namespace gcw {
namespace {

constexpr EndpointSlot kFirstSlot(0);
constexpr EndpointSlot kSecondSlot(1);

Time At(std::int64_t seconds) {
  return Time::FromMillis(seconds * 1000);
}

std::vector<PrefixBlock> MakeBlocks(PrefixBlock first, std::size_t length) {
  std::vector<PrefixBlock> blocks;
  for (std::size_t i = 0; i < length; ++i) {
    blocks.push_back(first * 1000 + i);
  }
  return blocks;
}

std::vector<PrefixMatch> MatchesOf(PrefixIndex& index,
                                   const std::vector<PrefixBlock>& blocks) {
  std::vector<PrefixMatch> matches;
  index.Match(blocks, matches);
  return matches;
}

CacheEventBatch Batch(std::int64_t first,
                      const std::vector<CacheEvent>& events) {
  const std::int64_t next = events.empty() ? first : events.back().sequence + 1;
  return {.first = first, .next = next, .events = events};
}

TEST(PrefixIndexTest, FindsTheLongestPrefixOfEachEndpoint) {
  PrefixIndex index({.max_endpoints = 130, .max_blocks = 4096});
  const std::vector<PrefixBlock> prompt = MakeBlocks(7, 20);
  index.OnDispatched(At(0), EndpointSlot(129), prompt);
  index.OnDispatched(At(0), kFirstSlot, std::span(prompt).first(6));
  const std::vector<PrefixMatch> matches = MatchesOf(index, prompt);
  ASSERT_EQ(matches.size(), 2U);
  EXPECT_EQ(matches[0].slot, EndpointSlot(129));
  EXPECT_EQ(matches[0].blocks, 20);
  EXPECT_EQ(matches[1].slot, kFirstSlot);
  EXPECT_EQ(matches[1].blocks, 6);
}

// The events of an eviction are lost, so the next batch begins later than the
// last one ended. Unless a gap marks the older entries, they are never dropped
// and requests keep going to an endpoint that holds nothing of their prompts.
TEST(PrefixIndexTest, EntriesBeforeAGapBecomeUnconfirmedAndExpire) {
  PrefixIndex index(
      {.max_blocks = 4096, .unconfirmed_ttl = Duration::Seconds(20)});
  const std::vector<PrefixBlock> prompt = MakeBlocks(7, 4);
  EXPECT_TRUE(index.OnCacheEvents(
      At(0), kFirstSlot, Batch(1, {{1, CacheEventKind::kStored, prompt[0]}})));
  index.OnDispatched(At(1), kFirstSlot, prompt);
  EXPECT_FALSE(index.OnCacheEvents(
      At(2), kFirstSlot, Batch(9, {{9, CacheEventKind::kStored, 1}})));
  index.Tick(At(3));
  ASSERT_EQ(MatchesOf(index, prompt).size(), 1U);
  EXPECT_TRUE(MatchesOf(index, prompt)[0].is_unconfirmed);
  index.Tick(At(23));
  EXPECT_TRUE(MatchesOf(index, prompt).empty());
}

// The next turn of a session goes to the endpoint after a gap and confirms the
// session's blocks. If entries expired per endpoint instead of one by one, the
// confirmed ones would be dropped too, and the session would be sent elsewhere
// and computed again.
TEST(PrefixIndexTest, EntriesConfirmedAfterAGapStay) {
  PrefixIndex index(
      {.max_blocks = 4096, .unconfirmed_ttl = Duration::Seconds(20)});
  const std::vector<PrefixBlock> prompt = MakeBlocks(7, 4);
  index.OnDispatched(At(0), kFirstSlot, prompt);
  index.OnCacheEvents(At(1), kFirstSlot, Batch(1, {}));
  index.OnCacheEvents(At(2), kFirstSlot, Batch(5, {}));
  index.Tick(At(3));
  index.OnDispatched(At(4), kFirstSlot, prompt);
  index.Tick(At(30));
  ASSERT_EQ(MatchesOf(index, prompt).size(), 1U);
  EXPECT_FALSE(MatchesOf(index, prompt)[0].is_unconfirmed);
}

// Batches are polled, so a late response and a repeated poll deliver a batch
// again or one that overlaps it. No event may count as missing or be applied
// twice.
TEST(PrefixIndexTest, OverlappingBatchesAreNotAGap) {
  PrefixIndex index({.max_blocks = 4096});
  const CacheEvent first{1, CacheEventKind::kStored, 5};
  const CacheEvent second{2, CacheEventKind::kEvicted, 5};
  EXPECT_TRUE(
      index.OnCacheEvents(At(0), kFirstSlot, Batch(1, {first, second})));
  EXPECT_TRUE(
      index.OnCacheEvents(At(1), kFirstSlot, Batch(1, {first, second})));
  EXPECT_TRUE(MatchesOf(index, {5}).empty());
}

// An engine restarts under the same generation, and its sequence numbers begin
// again. Numbers at or below the last one seen look like a known batch, and the
// engine would still be assumed to hold its old blocks.
TEST(PrefixIndexTest, SequenceResetClearsTheEndpoint) {
  PrefixIndex index({.max_blocks = 4096});
  index.OnCacheEvents(At(0), kFirstSlot,
                      Batch(1, {{1, CacheEventKind::kStored, 5},
                                {2, CacheEventKind::kStored, 6},
                                {3, CacheEventKind::kStored, 7}}));
  index.OnCacheEvents(At(1), kFirstSlot,
                      Batch(1, {{1, CacheEventKind::kStored, 9}}));
  EXPECT_TRUE(MatchesOf(index, {5}).empty());
  EXPECT_EQ(MatchesOf(index, {9}).size(), 1U);
}

TEST(PrefixIndexTest, EventsOfOtherEndpointsDoNotEvictOwnSessions) {
  PrefixIndex index({.max_blocks = 64});
  const std::vector<PrefixBlock> own = MakeBlocks(1, 16);
  index.OnDispatched(At(0), kFirstSlot, own);
  std::vector<CacheEvent> events;
  for (std::int64_t i = 1; i <= 5000; ++i) {
    events.push_back(
        {i, CacheEventKind::kStored, static_cast<PrefixBlock>(1000000 + i)});
  }
  index.OnCacheEvents(At(1), kSecondSlot, Batch(1, events));
  ASSERT_FALSE(MatchesOf(index, own).empty());
  EXPECT_EQ(MatchesOf(index, own)[0].blocks, 16);
  EXPECT_LE(index.known_blocks(), 64);
}

// Compares the index with a plain map while the index has room for all entries.
RC_GTEST_PROP(PrefixIndexTest, FindsTheSameAsAPlainMap, ()) {
  PrefixIndex index({.max_endpoints = 70, .max_blocks = 65536});
  std::map<std::int64_t, std::set<PrefixBlock>> held;
  const auto steps = *rc::gen::inRange(1, 60);
  for (int step = 0; step < steps; ++step) {
    const std::int64_t slot = *rc::gen::inRange<std::int64_t>(0, 70);
    const auto blocks = MakeBlocks(*rc::gen::inRange<PrefixBlock>(1, 6),
                                   *rc::gen::inRange<std::size_t>(1, 30));
    if (*rc::gen::inRange(0, 8) == 0) {
      index.Forget(EndpointSlot(slot));
      held[slot].clear();
    } else {
      index.OnDispatched(At(step), EndpointSlot(slot), blocks);
      held[slot].insert(blocks.begin(), blocks.end());
    }
  }
  const auto asked = MakeBlocks(*rc::gen::inRange<PrefixBlock>(1, 6), 30);
  std::map<std::int64_t, std::int64_t> found;
  for (const PrefixMatch& match : MatchesOf(index, asked)) {
    found[match.slot.value()] = match.blocks;
  }
  for (std::int64_t slot = 0; slot < 70; ++slot) {
    std::int64_t expected = 0;
    while (expected < 30 &&
           held[slot].contains(asked[static_cast<std::size_t>(expected)])) {
      ++expected;
    }
    RC_ASSERT(found[slot] == expected);
  }
}

}  // namespace
}  // namespace gcw
