#include <string>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "coordination/at_most_once/once_journal.h"
#include "tests/support/once_world.h"

namespace gcw {

namespace {

// Returns settings for three nodes without random faults or callers.
OnceWorldSettings FaultFreeSettings() {
  OnceWorldSettings settings;
  settings.nodes = 3;
  settings.sends_per_second = 0;
  settings.refusal_probability = 0;
  settings.answer_loss_probability = 0;
  settings.owner.shard_count = 8;
  settings.client.shard_count = 8;
  return settings;
}

// Returns the node that owns the key's shard once ownership has settled.
std::int64_t OwnerOf(const std::string& key) {
  std::vector<OnceMember> members;
  for (std::int64_t node = 0; node < 3; ++node) {
    members.push_back({NodeId("n" + std::to_string(node)), Incarnation(1)});
  }
  const OnceShardId shard =
      OnceShardOf(ScopedOnceKey(ContractId("c"), IdempotencyKey(key)), 8);
  return PreferredOnceOwner(shard, members)->node.value()[1] - '0';
}

const OnceWorld::Send& Find(const OnceWorld& world, const RequestId& request) {
  return world.sends().at(request);
}

}  // namespace

// Guards against a request that runs twice because only the dead owner knew the
// claim: the owner of the key dies after the grant and before the answer, and
// the caller sends again through another node.
TEST(OnceFailureTest, RunsOnceIfOwnerDiesAfterGrant) {
  OnceWorld world(FaultFreeSettings());
  world.Run(Duration::Seconds(1));
  const std::int64_t owner = OwnerOf("key");
  const RequestId first = world.SendKey((owner + 1) % 3, "key");
  while (!Find(world, first).run_at) {
    world.Step();
  }
  world.Kill(owner, Duration::Seconds(60));
  const RequestId second = world.SendKey((owner + 2) % 3, "key");
  world.Run(Duration::Seconds(20));
  EXPECT_EQ(world.Executions("key"), 1);
  EXPECT_EQ(Find(world, first).outcome, SendOutcome::kAnswered);
  // The new owner learns the answer from the first sender's report.
  EXPECT_EQ(Find(world, second).outcome, SendOutcome::kReplayed);
  EXPECT_EQ(world.violation(), "");
}

// Guards against a request that runs twice because the sender uses an expired
// grant: it is paused after the grant, the window in which keys are kept
// passes, a second send runs, and then the sender resumes.
TEST(OnceFailureTest, PausedSenderDoesNotRunAfterWindow) {
  OnceWorldSettings settings = FaultFreeSettings();
  settings.owner.shard.window = Duration::Seconds(60);
  OnceWorld world(settings);
  world.Run(Duration::Seconds(1));
  const std::int64_t sender = (OwnerOf("key") + 1) % 3;
  const RequestId first = world.SendKey(sender, "key");
  while (!Find(world, first).run_at) {
    world.Step();
  }
  world.Pause(sender, Duration::Seconds(100));
  world.Run(Duration::Seconds(90));
  const RequestId second = world.SendKey((sender + 1) % 3, "key");
  world.Run(Duration::Seconds(30));
  EXPECT_EQ(Find(world, second).outcome, SendOutcome::kAnswered);
  EXPECT_EQ(Find(world, first).outcome, SendOutcome::kNotRun);
  EXPECT_EQ(world.Executions("key"), 1);
  EXPECT_EQ(world.violation(), "");
}

// Guards against used keys that run again after operators restore the key-value
// service from a backup that lacks their claims. After the restore, the key's
// owner dies or goes on writing, and the caller sends again.
TEST(OnceFailureTest, RestoredStoreIsDetected) {
  OnceWorld world(FaultFreeSettings());
  world.SendKey(0, "before");
  world.Run(Duration::Seconds(5));
  world.store().Snapshot();
  for (int index = 0; index < 20; ++index) {
    world.SendKey(0, "key" + std::to_string(index));
  }
  world.Run(Duration::Seconds(5));
  world.store().Restore();
  world.Kill(OwnerOf("key3"), Duration::Seconds(60));
  world.Run(Duration::Seconds(5));
  const std::int64_t alive = (OwnerOf("key3") + 1) % 3;
  const RequestId again = world.SendKey(alive, "key3");
  world.Run(Duration::Seconds(10));
  EXPECT_EQ(world.Executions("key3"), 1);
  EXPECT_EQ(Find(world, again).outcome, SendOutcome::kNotRun);

  // After an operator accepts the loss, keys that are not in the journal are
  // still refused.
  for (std::int64_t node = 0; node < 3; ++node) {
    if (world.owner(node) != nullptr) {
      world.owner(node)->AcceptRewound(world.now());
    }
  }
  world.Run(Duration::Seconds(2));
  const RequestId later = world.SendKey(alive, "key3");
  world.Run(Duration::Seconds(10));
  EXPECT_EQ(world.Executions("key3"), 1);
  EXPECT_NE(Find(world, later).outcome, SendOutcome::kAnswered);
  EXPECT_EQ(world.violation(), "");
}

// Guards against a total refusal while the key-value service is down. Issued
// keys and callers' keys that ran before must still be answered. Only new
// callers' keys, whose claims cannot be journaled, are refused.
TEST(OnceFailureTest, OutageRefusesOnlyNewCallersKeys) {
  OnceWorld world(FaultFreeSettings());
  world.Run(Duration::Seconds(1));
  world.SendKey(0, "known");
  world.Run(Duration::Seconds(3));
  world.Outage(Duration::Seconds(600));
  world.Run(Duration::Seconds(60));
  const std::string issued = world.IssueKey(1);
  const RequestId first = world.SendKey(0, issued);
  const RequestId known = world.SendKey(2, "known");
  const RequestId fresh = world.SendKey(2, "new");
  world.Run(Duration::Seconds(10));
  const RequestId second = world.SendKey(2, issued);
  world.Run(Duration::Seconds(10));
  EXPECT_EQ(Find(world, first).outcome, SendOutcome::kAnswered);
  EXPECT_EQ(Find(world, second).outcome, SendOutcome::kReplayed);
  EXPECT_EQ(Find(world, known).outcome, SendOutcome::kReplayed);
  EXPECT_EQ(Find(world, fresh).outcome, SendOutcome::kNotRun);
  EXPECT_EQ(Find(world, fresh).refusal, RefusalKind::kOnceUnavailable);
  EXPECT_EQ(world.violation(), "");
}

// Guards against requests that run twice after an outage in which owners
// granted claims under an outage lease. A key that was given back before the
// outage and a new key run during it. Then their owner dies, the service
// returns, and two other nodes own the shards in turn. The journal holds no
// claim of the outage, and both owners must account for that.
TEST(OnceFailureTest, ClaimsOfAnOutageAreNotForgotten) {
  OnceWorldSettings settings = FaultFreeSettings();
  settings.owner.outage_lease = Duration::Seconds(60);
  OnceWorld world(settings);
  world.Run(Duration::Seconds(1));
  const std::int64_t owner = OwnerOf("new");
  std::string returned = "returned";
  while (OwnerOf(returned) != owner) {
    returned += "1";
  }
  world.settings().refusal_probability = 1;
  world.SendKey(0, returned);
  world.Run(Duration::Seconds(10));
  world.settings().refusal_probability = 0;
  world.Outage(Duration::Seconds(20));
  const RequestId first = world.SendKey(0, "new");
  const RequestId second = world.SendKey(0, returned);
  world.Run(Duration::Seconds(8));
  EXPECT_TRUE(Find(world, first).run_at);
  EXPECT_TRUE(Find(world, second).run_at);
  world.Kill(owner, Duration::Seconds(600));
  world.Run(Duration::Seconds(30));
  for (std::int64_t node = 0; node < 3; ++node) {
    world.SendKey(node, "new");
    world.SendKey(node, returned);
  }
  world.Run(Duration::Seconds(10));
  world.Stop((owner + 1) % 3, Duration::Seconds(5));
  world.Run(Duration::Seconds(20));
  world.Stop((owner + 2) % 3, Duration::Seconds(5));
  world.Run(Duration::Seconds(20));
  world.SendKey((owner + 1) % 3, "new");
  world.SendKey((owner + 1) % 3, returned);
  world.Run(Duration::Seconds(10));
  EXPECT_EQ(world.Executions("new"), 1);
  EXPECT_EQ(world.Executions(returned), 1);
  EXPECT_EQ(world.violation(), "");
}

// Guards against an issued key that runs again after its node restarted: the
// new process does not know the keys of the old one.
TEST(OnceFailureTest, IssuedKeyOfEarlierIncarnationIsUnknown) {
  OnceWorld world(FaultFreeSettings());
  world.Run(Duration::Seconds(1));
  const std::string key = world.IssueKey(1);
  world.SendKey(0, key);
  world.Run(Duration::Seconds(3));
  world.Kill(1, Duration::Seconds(2));
  world.Run(Duration::Seconds(10));
  const RequestId again = world.SendKey(0, key);
  const RequestId guessed = world.SendKey(0, "gcw1.n1.2.1.12345");
  world.Run(Duration::Seconds(10));
  EXPECT_EQ(Find(world, again).outcome, SendOutcome::kEarlier);
  EXPECT_EQ(Find(world, guessed).refusal, RefusalKind::kOnceMismatch);
  EXPECT_EQ(world.Executions(key), 1);
}

// A caller that sends again while the first send runs gets the first answer.
TEST(OnceFailureTest, SecondSendWaitsForTheFirst) {
  OnceWorld world(FaultFreeSettings());
  world.Run(Duration::Seconds(1));
  const RequestId first = world.SendKey(0, "key");
  const RequestId second = world.SendKey(1, "key");
  world.Run(Duration::Seconds(5));
  EXPECT_EQ(world.Executions("key"), 1);
  EXPECT_TRUE((Find(world, first).outcome == SendOutcome::kAnswered) !=
              (Find(world, second).outcome == SendOutcome::kAnswered));
}

// Guards against refusals after a planned stop: the stopping owner must release
// its shards instead of letting the next owner wait for the lease to expire.
TEST(OnceFailureTest, PlannedStopReleasesShards) {
  OnceWorldSettings settings = FaultFreeSettings();
  settings.owner.outage_lease = Duration::Seconds(120);
  OnceWorld world(settings);
  world.Run(Duration::Seconds(1));
  world.SendKey(0, "key");
  world.Run(Duration::Seconds(5));
  const std::int64_t owner = OwnerOf("key");
  world.Stop(owner, Duration::Seconds(60));
  world.Run(Duration::Seconds(5));
  const RequestId again = world.SendKey((owner + 1) % 3, "key");
  world.Run(Duration::Seconds(2));
  EXPECT_EQ(Find(world, again).outcome, SendOutcome::kEarlier);
  EXPECT_EQ(world.violation(), "");
}

TEST(OnceShardTest, RefusesNewKeysWhenFullAndForgetsAfterTheWindow) {
  OnceShardSettings settings;
  settings.window = Duration::Seconds(10);
  settings.max_journal_bytes = 100;
  OnceShard shard(settings);
  const auto claim = [&](std::int64_t second, const std::string& key) {
    OnceClaimRequest request;
    request.claim = OnceClaimId("claim");
    request.key = IdempotencyKey(key);
    const Time now = Time::FromMillis(second * 1000);
    shard.Tick(now);
    return std::holds_alternative<OnceRecorded>(shard.Claim(now, request));
  };
  EXPECT_TRUE(claim(0, "a"));
  EXPECT_TRUE(claim(0, "b"));
  EXPECT_FALSE(claim(9, "c"));
  EXPECT_TRUE(claim(10, "c"));
  EXPECT_EQ(shard.size(), 1U);
}

// Guards against an answered request that runs again because a late or
// reordered "not run" report of the same claim overwrites the answer.
TEST(OnceShardTest, LateNotRunReportKeepsAnswer) {
  OnceShard shard(OnceShardSettings{});
  OnceClaimRequest request;
  request.claim = OnceClaimId("first");
  request.key = IdempotencyKey("key");
  shard.Claim(Time(), request);
  const OnceAnswer answer{200, {}, "done"};
  shard.Finish(Time(), {request.claim, request.key, OnceAnswered{answer}});
  shard.Finish(Time(), {request.claim, request.key, OnceNotRun{}});
  request.claim = OnceClaimId("second");
  const OnceShardDecision decision = shard.Claim(Time(), request);
  const auto* verdict = std::get_if<OnceVerdict>(&decision);
  ASSERT_NE(verdict, nullptr);
  EXPECT_TRUE(std::holds_alternative<OnceReplayed>(*verdict));
}

// Guards against a key that runs twice because its claim is given back to two
// owners: the earlier one still grants under its outage lease.
TEST(OnceShardTest, AClaimGivenBackToTheNextOwnerIsNotGrantedAgainUnderALease) {
  const Time now = Time::FromMillis(1000000);
  OnceClaimRequest request;
  request.claim = OnceClaimId("second");
  request.key = IdempotencyKey("key");
  for (const bool may_miss_claims : {false, true}) {
    OnceShard shard(OnceShardSettings{});
    shard.Load(now, {{request.key, request.fingerprint, OnceClaimId("first"),
                      OnceClaimState::kClaimed}});
    if (may_miss_claims) {
      shard.RefuseUnknownKeys(now + Duration::Seconds(30));
    }
    shard.Finish(now, {OnceClaimId("first"), request.key, OnceNotRun{}});
    const OnceShardDecision decision = shard.Claim(now, request);
    EXPECT_EQ(std::holds_alternative<OnceRecorded>(decision), !may_miss_claims);
  }
}

RC_GTEST_PROP(OnceJournalTest,
              ReadsBackWhatItWrote,
              (const std::string& change)) {
  OnceJournal journal;
  journal.owner = {NodeId(*rc::gen::arbitrary<std::string>()), Incarnation(3)};
  journal.change = ChangeId(change);
  journal.may_miss_claims = *rc::gen::arbitrary<bool>();
  for (const std::string& key :
       *rc::gen::arbitrary<std::vector<std::string>>()) {
    journal.entries.push_back({IdempotencyKey(key),
                               Fingerprint(*rc::gen::arbitrary<std::int64_t>()),
                               OnceClaimId(key), OnceClaimState::kAnswered});
  }
  const std::string text = EncodeOnceJournal(journal);
  const auto read = DecodeOnceJournal(text);
  RC_ASSERT(IsOk(read));
  RC_ASSERT(ValueOf(read) == journal);
  const auto cut = *rc::gen::inRange<std::size_t>(0, text.size());
  RC_ASSERT(!IsOk(DecodeOnceJournal(text.substr(0, cut))));
}

}  // namespace gcw
