#include "state/prefix_index.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <map>
#include <set>
#include <vector>

namespace gcw {
namespace {

constexpr EndpointSlot kFirst(0);
constexpr EndpointSlot kSecond(1);

Time At(std::int64_t seconds) {
  return Time::FromMillis(seconds * 1000);
}

std::vector<PrefixBlock> Chain(PrefixBlock first, std::size_t length) {
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
  const std::vector<PrefixBlock> prompt = Chain(7, 20);
  index.OnDispatched(At(0), EndpointSlot(129), prompt);
  index.OnDispatched(At(0), kFirst, std::span(prompt).first(6));
  const std::vector<PrefixMatch> matches = MatchesOf(index, prompt);
  ASSERT_EQ(matches.size(), 2U);
  EXPECT_EQ(matches[0].slot, EndpointSlot(129));
  EXPECT_EQ(matches[0].blocks, 20);
  EXPECT_EQ(matches[1].slot, kFirst);
  EXPECT_EQ(matches[1].blocks, 6);
}

// Symptom: after an engine lost cache events, requests go on to an endpoint
// that holds nothing of their prompts.
// Sequence: blocks stored; the events of their eviction are lost; the next
// batch begins later than the last one ended.
// Cause: without a mark, nothing ever takes the old entries back.
TEST(PrefixIndexTest, EntriesFromBeforeAGapBecomeDoubtfulAndAgeOut) {
  PrefixIndex index({.max_blocks = 4096, .doubt_span = Duration::Seconds(20)});
  const std::vector<PrefixBlock> prompt = Chain(7, 4);
  EXPECT_TRUE(index.OnCacheEvents(
      At(0), kFirst, Batch(1, {{1, CacheEventKind::kStored, prompt[0]}})));
  index.OnDispatched(At(1), kFirst, prompt);
  EXPECT_FALSE(index.OnCacheEvents(
      At(2), kFirst, Batch(9, {{9, CacheEventKind::kStored, 1}})));
  index.Tick(At(3));
  ASSERT_EQ(MatchesOf(index, prompt).size(), 1U);
  EXPECT_TRUE(MatchesOf(index, prompt)[0].is_doubtful);
  index.Tick(At(23));
  EXPECT_TRUE(MatchesOf(index, prompt).empty());
}

// Symptom: a session whose blocks were confirmed after a gap is sent elsewhere
// and computed again.
// Sequence: gap; the session's next turn goes to the endpoint; doubt ages out.
// Cause: ageing by endpoint instead of by entry would drop the fresh ones too.
TEST(PrefixIndexTest, EntriesConfirmedAfterAGapStay) {
  PrefixIndex index({.max_blocks = 4096, .doubt_span = Duration::Seconds(20)});
  const std::vector<PrefixBlock> prompt = Chain(7, 4);
  index.OnDispatched(At(0), kFirst, prompt);
  index.OnCacheEvents(At(1), kFirst, Batch(1, {}));
  index.OnCacheEvents(At(2), kFirst, Batch(5, {}));
  index.Tick(At(3));
  index.OnDispatched(At(4), kFirst, prompt);
  index.Tick(At(30));
  ASSERT_EQ(MatchesOf(index, prompt).size(), 1U);
  EXPECT_FALSE(MatchesOf(index, prompt)[0].is_doubtful);
}

// Symptom: the index takes an event for missing, or applies one twice.
// Sequence: a batch arrives again, or a later one overlaps it.
// Cause: batches are polled; an answer can be late and the question repeated.
TEST(PrefixIndexTest, OverlappingBatchesAreNoGap) {
  PrefixIndex index({.max_blocks = 4096});
  const CacheEvent first{1, CacheEventKind::kStored, 5};
  const CacheEvent second{2, CacheEventKind::kEvicted, 5};
  EXPECT_TRUE(index.OnCacheEvents(At(0), kFirst, Batch(1, {first, second})));
  EXPECT_TRUE(index.OnCacheEvents(At(1), kFirst, Batch(1, {first, second})));
  EXPECT_TRUE(MatchesOf(index, {5}).empty());
}

// Symptom: a restarted engine is believed to hold what it held before.
// Sequence: the engine restarts under the same generation; its event numbers
// begin again.
// Cause: numbers at or below the last one seen look like a batch seen before.
TEST(PrefixIndexTest, NumbersThatRunBackwardsEmptyTheEndpoint) {
  PrefixIndex index({.max_blocks = 4096});
  index.OnCacheEvents(At(0), kFirst,
                      Batch(1, {{1, CacheEventKind::kStored, 5},
                                {2, CacheEventKind::kStored, 6},
                                {3, CacheEventKind::kStored, 7}}));
  index.OnCacheEvents(At(1), kFirst,
                      Batch(1, {{1, CacheEventKind::kStored, 9}}));
  EXPECT_TRUE(MatchesOf(index, {5}).empty());
  EXPECT_EQ(MatchesOf(index, {9}).size(), 1U);
}

TEST(PrefixIndexTest, EventsOfOthersDoNotPushOutOwnSessions) {
  PrefixIndex index({.max_blocks = 64});
  const std::vector<PrefixBlock> own = Chain(1, 16);
  index.OnDispatched(At(0), kFirst, own);
  std::vector<CacheEvent> events;
  for (std::int64_t i = 1; i <= 5000; ++i) {
    events.push_back(
        {i, CacheEventKind::kStored, static_cast<PrefixBlock>(1000000 + i)});
  }
  index.OnCacheEvents(At(1), kSecond, Batch(1, events));
  ASSERT_FALSE(MatchesOf(index, own).empty());
  EXPECT_EQ(MatchesOf(index, own)[0].blocks, 16);
  EXPECT_LE(index.known_blocks(), 64);
}

// The index against a plain map, as long as it has room for everything.
RC_GTEST_PROP(PrefixIndexTest, AgreesWithAPlainMap, ()) {
  PrefixIndex index({.max_endpoints = 70, .max_blocks = 65536});
  std::map<std::int64_t, std::set<PrefixBlock>> held;
  const auto steps = *rc::gen::inRange(1, 60);
  for (int step = 0; step < steps; ++step) {
    const std::int64_t slot = *rc::gen::inRange<std::int64_t>(0, 70);
    const auto chain = Chain(*rc::gen::inRange<PrefixBlock>(1, 6),
                             *rc::gen::inRange<std::size_t>(1, 30));
    if (*rc::gen::inRange(0, 8) == 0) {
      index.Forget(EndpointSlot(slot));
      held[slot].clear();
    } else {
      index.OnDispatched(At(step), EndpointSlot(slot), chain);
      held[slot].insert(chain.begin(), chain.end());
    }
  }
  const auto asked = Chain(*rc::gen::inRange<PrefixBlock>(1, 6), 30);
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
