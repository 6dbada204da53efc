#include "coordination/gateway/change_feed.h"

#include <gtest/gtest.h>

namespace gcw {
namespace {

constexpr Time kStart = Time::FromMillis(1000000);
constexpr Duration kWait = Duration::Millis(400);
constexpr Duration kFresh = Duration::Millis(20);

StoreEntry Entry(const std::string& key, std::int64_t revision) {
  return {key, "v", Revision(revision), LeaseId()};
}

class ChangeFeedTest : public testing::Test {
 protected:
  ChangeFeedTest() { feed_.ResetTo(Revision(10)); }

  void AddRequest(std::int64_t after) {
    feed_.AddRequest(kStart, {ChangesRequestId(1), Revision(after), kWait});
  }
  std::vector<ChangesReply> Take(std::int64_t revision,
                                 Duration later = Duration(),
                                 std::optional<Duration> age = kFresh) {
    return feed_.TakeReplies(kStart + later, Revision(revision), age,
                             Duration());
  }

  ChangeFeed feed_{3};
};

TEST_F(ChangeFeedTest, ReturnsChangesAfterTheRevision) {
  feed_.Add({Entry("a", 11), Entry("b", 13)}, {{"c", Revision(12)}});
  AddRequest(11);
  const auto answers = Take(13);
  ASSERT_EQ(answers.size(), 1U);
  ASSERT_TRUE(answers.front().changes);
  const MirrorChanges& changes = *answers.front().changes;
  ASSERT_EQ(changes.changed.size(), 1U);
  EXPECT_EQ(changes.changed.front().key, "b");
  ASSERT_EQ(changes.deleted.size(), 1U);
  EXPECT_EQ(changes.deleted.front().key, "c");
  EXPECT_EQ(changes.revision, Revision(13));
  EXPECT_EQ(changes.age, kFresh);
}

TEST_F(ChangeFeedTest, WaitsForAChangeAsLongAsRequested) {
  AddRequest(10);
  EXPECT_TRUE(Take(10, kWait - Duration::Millis(1)).empty());
  const auto answers = Take(10, kWait);
  ASSERT_EQ(answers.size(), 1U);
  ASSERT_TRUE(answers.front().changes);
  EXPECT_TRUE(answers.front().changes->changed.empty());
  EXPECT_FALSE(feed_.has_pending_requests());
}

// Guards against a follower that misses an endpoint or keeps one that has left:
// some of the changes that it asks for are no longer kept, and the rest were
// returned as if they were all.
TEST_F(ChangeFeedTest, ReturnsNothingIfSomeChangesWereDropped) {
  feed_.Add({Entry("a", 11), Entry("b", 12)}, {});
  feed_.Add({Entry("c", 13), Entry("d", 14)}, {});
  AddRequest(10);
  EXPECT_FALSE(Take(14).front().changes);
  AddRequest(11);
  EXPECT_EQ(Take(14).front().changes->changed.size(), 3U);
}

// Guards against followers that send to endpoints that left seconds ago: the
// followed node loses the service and goes on answering from a copy of unknown
// age.
TEST_F(ChangeFeedTest, ReturnsNothingWithoutAFreshCopy) {
  AddRequest(10);
  EXPECT_TRUE(Take(10).empty());
  const auto answers = Take(10, Duration::Millis(100), std::nullopt);
  ASSERT_EQ(answers.size(), 1U);
  EXPECT_FALSE(answers.front().changes);
}

TEST_F(ChangeFeedTest, ReturnsNoOldChangesToAFollowerThatIsAhead) {
  feed_.Add({Entry("a", 11)}, {});
  AddRequest(15);
  EXPECT_TRUE(Take(11).empty());
  const auto answers = Take(11, kWait);
  ASSERT_TRUE(answers.front().changes);
  EXPECT_TRUE(answers.front().changes->changed.empty());
}

}  // namespace
}  // namespace gcw
