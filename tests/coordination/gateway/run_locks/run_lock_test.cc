#include <gtest/gtest.h>

#include <vector>

#include "coordination/coordination.h"

namespace gcw {
namespace {

constexpr Fingerprint kRequest(1);
const Address kOwner("owner");

class RunLockTableTest : public testing::Test {
 protected:
  // Claims the lock for the node; its claim has the same number as its id.
  void Claim(std::int64_t id, const char* node) {
    RunLockClaim claim;
    claim.id = RunLockClaimId(id);
    claim.fingerprint = kRequest;
    claim.node = Address(node);
    claim.number = RunLockClaimNumber(id);
    claim.wait = Duration::Seconds(1);
    table_.Claim(now_, claim);
  }
  void Release(std::int64_t number, const char* node, RunOutcome outcome) {
    RunLockRelease release;
    release.fingerprint = kRequest;
    release.node = Address(node);
    release.number = RunLockClaimNumber(number);
    release.outcome = outcome;
    table_.Release(now_, release);
  }
  // Returns the ids of the claims that got this answer since the last call.
  std::vector<std::int64_t> Answered(RunLockAnswer answer) {
    std::vector<std::int64_t> ids;
    for (const auto& [id, reply] : table_.TakeReplies()) {
      if (reply.answer == answer) {
        ids.push_back(id.value());
      }
    }
    return ids;
  }
  void Pass(Duration time) {
    now_ = now_ + time;
    table_.Tick(now_);
  }

  using Ids = std::vector<std::int64_t>;
  RunLockTable table_{RunLockSettings()};
  Time now_ = Time::FromMillis(1000);
};

TEST_F(RunLockTableTest, OneNodeHoldsTheLockAtATime) {
  Claim(1, "a");
  Claim(2, "b");
  Claim(3, "c");
  EXPECT_EQ(Answered(RunLockAnswer::kGranted), Ids{1});
  Release(1, "a", RunOutcome::kUnknown);
  EXPECT_EQ(Answered(RunLockAnswer::kGranted), Ids{2});
}

TEST_F(RunLockTableTest, OutcomesReachAllThatWait) {
  for (const auto& [outcome, answer] :
       {std::pair(RunOutcome::kSuspected, RunLockAnswer::kSuspected),
        std::pair(RunOutcome::kHarmless, RunLockAnswer::kHarmless)}) {
    Claim(1, "a");
    Claim(2, "b");
    Claim(3, "c");
    EXPECT_EQ(Answered(RunLockAnswer::kGranted), Ids{1});
    Release(1, "a", outcome);
    EXPECT_EQ(Answered(answer), (Ids{2, 3}));
    EXPECT_EQ(table_.size(), 0U);
  }
  Claim(4, "b");
  EXPECT_EQ(Answered(RunLockAnswer::kHarmless), Ids{4});
}

// Guards against requests that never run because a node was lost with the lock.
TEST_F(RunLockTableTest, ALockWithoutItsHolderIsGrantedAgain) {
  Claim(1, "a");
  Claim(2, "b");
  Pass(Duration::Millis(1100));
  EXPECT_EQ(Answered(RunLockAnswer::kBusy), Ids{2});
  Pass(Duration::Seconds(9));
  Claim(3, "b");
  EXPECT_EQ(Answered(RunLockAnswer::kGranted), Ids{3});
}

// Guards against a late release that frees the lock of a later claim.
TEST_F(RunLockTableTest, OnlyTheLastClaimOfANodeIsReleased) {
  Claim(1, "a");
  Claim(2, "a");
  EXPECT_EQ(Answered(RunLockAnswer::kGranted), (Ids{1, 2}));
  Release(1, "a", RunOutcome::kUnknown);
  Claim(3, "b");
  EXPECT_EQ(Answered(RunLockAnswer::kGranted), Ids());
}

// Guards against memory that grows with the requests of a long outage.
TEST(RunLockTableLimitTest, TheNumberOfLocksIsBounded) {
  RunLockSettings settings;
  settings.max_locks = 8;
  RunLockTable table(settings);
  for (std::int64_t i = 1; i <= 100; ++i) {
    RunLockClaim claim;
    claim.id = RunLockClaimId(i);
    claim.fingerprint = Fingerprint(i);
    claim.node = Address("a");
    table.Claim(Time(), claim);
  }
  EXPECT_EQ(table.size(), 8U);
  EXPECT_EQ(table.TakeReplies().size(), 100U);
}

class RunLockClientTest : public testing::Test {
 protected:
  void Wait(std::int64_t id) { client_.Wait(now_, ForwardId(id), kRequest); }
  void Reply(RunLockAnswer answer) {
    const auto claims = client_.TakeClaims();
    ASSERT_EQ(claims.size(), 1U);
    EXPECT_EQ(claims.front().owner, kOwner);
    client_.OnReply(now_, kRequest, claims.front().number, answer);
  }
  std::vector<std::int64_t> Decided() {
    std::vector<std::int64_t> ids;
    for (const ForwardId id : client_.TakeDecided()) {
      ids.push_back(id.value());
    }
    return ids;
  }

  using Ids = std::vector<std::int64_t>;
  RunLockClient client_{{}, [](Fingerprint) { return kOwner; }};
  Time now_ = Time::FromMillis(1000);
};

TEST_F(RunLockClientTest, CopiesAtOneNodeRunOneAfterTheOther) {
  Wait(1);
  Wait(2);
  EXPECT_EQ(Decided(), Ids());
  Reply(RunLockAnswer::kGranted);
  EXPECT_EQ(Decided(), Ids{1});
  client_.OnEnded(ForwardId(1));
  EXPECT_EQ(client_.TakeReleases().size(), 1U);
  Reply(RunLockAnswer::kGranted);
  EXPECT_EQ(Decided(), Ids{2});
}

// Guards against sound copies that are kept waiting by one that runs for long.
TEST_F(RunLockClientTest, CopiesGoOnOnceOneIsHarmlessOrTheirTimeIsOver) {
  Wait(1);
  Wait(2);
  Reply(RunLockAnswer::kGranted);
  EXPECT_EQ(Decided(), Ids{1});
  now_ = now_ + RunLockSettings().max_wait;
  client_.Tick(now_);
  EXPECT_EQ(Decided(), Ids{2});
  Wait(3);
  client_.OnOutcome(now_, ForwardId(1), RunOutcome::kHarmless);
  EXPECT_EQ(Decided(), Ids{3});
  EXPECT_TRUE(client_.IsHarmless(kRequest));
  const auto releases = client_.TakeReleases();
  ASSERT_EQ(releases.size(), 1U);
  EXPECT_EQ(releases.front().outcome, RunOutcome::kHarmless);
}

// Guards against requests that are never sent because the owner of the lock is
// lost, or a caller that leaves while its claim is pending.
TEST_F(RunLockClientTest, NoRequestWaitsForAnOwnerThatIsLost) {
  Wait(1);
  Reply(RunLockAnswer::kNoAnswer);
  EXPECT_EQ(Decided(), Ids{1});
  Wait(2);
  client_.OnEnded(ForwardId(2));
  Reply(RunLockAnswer::kGranted);
  EXPECT_EQ(Decided(), Ids());
  EXPECT_EQ(client_.TakeReleases().size(), 1U);
}

}  // namespace
}  // namespace gcw
