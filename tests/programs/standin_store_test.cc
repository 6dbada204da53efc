#include <gtest/gtest.h>

#include "programs/gcw_standin/standin_store.h"

namespace gcw {
namespace {

Time At(std::int64_t millis) {
  return Time::FromMillis(millis);
}

// Runs a store in virtual time.
class StandinStoreTest : public testing::Test {
 protected:
  StoreReply Call(Time now, const StoreCall& call) {
    for (StoreAnswer& answer : store_.OnCall(now, ++ticket_, call)) {
      if (answer.ticket == ticket_) {
        return answer.reply;
      }
    }
    return StoreNoAnswer{};
  }

  // Writes a key and returns its new revision.
  Revision Put(Time now,
               const std::string& key,
               Revision expected,
               LeaseId lease = LeaseId()) {
    const StoreReply reply = Call(now, StorePut{key, "v", expected, lease});
    return std::get<StoreWritten>(reply).revision;
  }

  std::size_t KeysBelow(Time now, const std::string& prefix) {
    const StoreReply reply = Call(now, StoreRange{prefix});
    return std::get<StoreRangeReply>(reply).entries.size();
  }

  StandinStore store_{{.history = 4}};
  Ticket ticket_;
};

TEST_F(StandinStoreTest, WriteRequiresExpectedRevision) {
  const Revision first = Put(At(0), "a", Revision());
  const StoreReply absent = Call(At(0), StorePut{"a", "w", Revision(), {}});
  EXPECT_EQ(std::get<StoreConflict>(absent).current->revision, first);
  const StoreReply gone = Call(At(0), StorePut{"b", "w", first, {}});
  EXPECT_FALSE(std::get<StoreConflict>(gone).current);
  EXPECT_GT(Put(At(0), "a", first), first);
  const StoreReply stale = Call(At(0), StoreDelete{"a", first});
  EXPECT_TRUE(std::holds_alternative<StoreConflict>(stale));
}

TEST_F(StandinStoreTest, KeysExpireWithTheirLease) {
  const auto lease = std::get<StoreLeaseReply>(
      Call(At(0), StoreLeaseGrant{Duration::Millis(100)}));
  Put(At(0), "role/a", Revision(), lease.lease);
  Call(At(90), StoreLeaseKeepAlive{lease.lease});
  EXPECT_EQ(KeysBelow(At(189), "role/"), 1U);
  EXPECT_EQ(KeysBelow(At(190), "role/"), 0U);
  const StoreReply late = Call(At(190), StoreLeaseKeepAlive{lease.lease});
  EXPECT_TRUE(std::holds_alternative<StoreLeaseUnknown>(late));
  const StoreReply put = Call(At(190), StorePut{"b", "v", {}, lease.lease});
  EXPECT_TRUE(std::holds_alternative<StoreLeaseUnknown>(put));
}

TEST_F(StandinStoreTest, WatchWakesOnlyOnItsPrefix) {
  const Revision start = Put(At(0), "a/1", Revision());
  const StoreWatch watch{"a/", start, Duration::Millis(50)};
  EXPECT_TRUE(store_.OnCall(At(0), Ticket(900), watch).empty());
  EXPECT_TRUE(store_.Tick(At(10)).empty());
  Put(At(10), "b/1", Revision());
  const auto answers =
      store_.OnCall(At(20), Ticket(901), StoreDelete{"a/1", start});
  ASSERT_EQ(answers.size(), 2U);
  EXPECT_EQ(answers[1].ticket, Ticket(900));
  const auto& reply = std::get<StoreWatchReply>(answers[1].reply);
  EXPECT_TRUE(reply.changed.empty());
  ASSERT_EQ(reply.deleted.size(), 1U);
  EXPECT_EQ(reply.deleted[0].revision, reply.revision);
}

TEST_F(StandinStoreTest, WatchReturnsEmptyAfterTimeout) {
  const Revision start = Put(At(0), "a", Revision());
  store_.OnCall(At(0), Ticket(900),
                StoreWatch{"a", start, Duration::Millis(50)});
  EXPECT_TRUE(store_.Tick(At(49)).empty());
  const auto answers = store_.Tick(At(50));
  ASSERT_EQ(answers.size(), 1U);
  const auto& reply = std::get<StoreWatchReply>(answers[0].reply);
  EXPECT_EQ(reply.revision, start);
  EXPECT_FALSE(reply.compacted);
}

// Guards against a node that misses changes: if more changes are made between
// two watches than the history holds, they are compacted, and the reply must
// tell the node to read the range again.
TEST_F(StandinStoreTest, WatchBehindHistoryReportsCompaction) {
  const Revision start = Put(At(0), "a", Revision());
  Revision last = start;
  for (int i = 0; i < 6; ++i) {
    last = Put(At(0), "a", last);
  }
  const StoreReply old = Call(At(0), StoreWatch{"a", start, Duration()});
  EXPECT_TRUE(std::get<StoreWatchReply>(old).compacted);
  const StoreReply ahead =
      Call(At(0), StoreWatch{"a", last + Revision(1), Duration::Seconds(1)});
  EXPECT_TRUE(std::get<StoreWatchReply>(ahead).compacted);
}

TEST_F(StandinStoreTest, CallsAboveRateAreRefusedWithoutEffect) {
  StandinStore store({.writes_per_second = 4});
  const StorePut put{"a", "v", Revision(), LeaseId()};
  EXPECT_EQ(store.OnCall(At(0), Ticket(1), put).size(), 1U);
  const auto refused = store.OnCall(At(0), Ticket(2), put);
  EXPECT_EQ(std::get<StoreRefused>(refused.at(0).reply).retry_after,
            Duration::Millis(250));
  const auto read = store.OnCall(At(0), Ticket(3), StoreRange{""});
  EXPECT_EQ(std::get<StoreRangeReply>(read.at(0).reply).entries.size(), 1U);
  const auto later = store.OnCall(At(250), Ticket(4), put);
  EXPECT_TRUE(std::holds_alternative<StoreConflict>(later.at(0).reply));
}

}  // namespace
}  // namespace gcw
