#include <string>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "coordination/at_most_once/once_journal.h"
#include "tests/support/once_world.h"

namespace gcw {

namespace {

// Three nodes without random faults or callers.
OnceWorldSettings Quiet() {
  OnceWorldSettings settings;
  settings.nodes = 3;
  settings.sends_per_second = 0;
  settings.endpoint_refuses = 0;
  settings.answer_lost = 0;
  settings.owner.shard_count = 8;
  settings.client.shard_count = 8;
  return settings;
}

// The node that owns the key's shard in a world that has settled.
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

// Symptom: a passport is printed twice.
// Sequence of events: the first send is granted; the owner of its key dies
// before the answer; the caller sends again through another node.
// Cause: the claim was known to the dead owner only.
TEST(OnceFailureTest, OwnerDiesAfterGrant) {
  OnceWorld world(Quiet());
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
  EXPECT_EQ(Find(world, first).told, Told::kAnswered);
  // The new owner learns the answer from the first sender's report.
  EXPECT_EQ(Find(world, second).told, Told::kReplayed);
  EXPECT_EQ(world.violation(), "");
}

// Symptom: a reservation is confirmed twice.
// Sequence of events: the sender is granted the key and paused; the window in
// which keys are remembered passes; the caller sends again, which runs; the
// sender wakes and writes its request.
// Cause: the sender trusts a grant that has lapsed.
TEST(OnceFailureTest, PausedSenderWakesAfterWindow) {
  OnceWorldSettings settings = Quiet();
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
  EXPECT_EQ(Find(world, second).told, Told::kAnswered);
  EXPECT_EQ(Find(world, first).told, Told::kNotRun);
  EXPECT_EQ(world.Executions("key"), 1);
  EXPECT_EQ(world.violation(), "");
}

// Symptom: keys that were used run again after the operators restored the
// key-value service from a backup.
// Sequence of events: backup; a key runs; restore; the key's owner dies or
// writes on; the caller sends again.
// Cause: the restored journal lacks the claim.
TEST(OnceFailureTest, RestoredStoreIsNoticed) {
  OnceWorld world(Quiet());
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
  EXPECT_EQ(Find(world, again).told, Told::kNotRun);

  // An operator accepts the loss: what the journal does not know stays refused.
  for (std::int64_t node = 0; node < 3; ++node) {
    if (world.owner(node) != nullptr) {
      world.owner(node)->AcceptRewound(world.now());
    }
  }
  world.Run(Duration::Seconds(2));
  const RequestId later = world.SendKey(alive, "key3");
  world.Run(Duration::Seconds(10));
  EXPECT_EQ(world.Executions("key3"), 1);
  EXPECT_NE(Find(world, later).told, Told::kAnswered);
  EXPECT_EQ(world.violation(), "");
}

// Symptom: no reservation can be confirmed while the key-value service is down.
// Sequence of events: an outage; sends with keys that the system issued, with
// keys of the callers' own that ran before, and with new ones.
// Cause: a claim that must reach the journal cannot.
TEST(OnceFailureTest, OutageRefusesOnlyNewCallersKeys) {
  OnceWorld world(Quiet());
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
  EXPECT_EQ(Find(world, first).told, Told::kAnswered);
  EXPECT_EQ(Find(world, second).told, Told::kReplayed);
  EXPECT_EQ(Find(world, known).told, Told::kReplayed);
  EXPECT_EQ(Find(world, fresh).told, Told::kNotRun);
  EXPECT_EQ(Find(world, fresh).refusal, RefusalKind::kOnceUnavailable);
  EXPECT_EQ(world.violation(), "");
}

// Symptom: a reservation is confirmed twice after an outage.
// Sequence of events: owners may grant on an outage lease; an outage begins; a
// key that was given back before and a new one run; their owner dies; the
// service returns; another node takes the shards and is replaced in its turn;
// the caller sends again.
// Cause: the journal holds no claim of the outage, and neither owner after it
// knows that.
TEST(OnceFailureTest, ClaimsOfAnOutageAreNotForgotten) {
  OnceWorldSettings settings = Quiet();
  settings.owner.outage_lease = Duration::Seconds(60);
  OnceWorld world(settings);
  world.Run(Duration::Seconds(1));
  const std::int64_t owner = OwnerOf("new");
  std::string returned = "returned";
  while (OwnerOf(returned) != owner) {
    returned += "1";
  }
  world.settings().endpoint_refuses = 1;
  world.SendKey(0, returned);
  world.Run(Duration::Seconds(10));
  world.settings().endpoint_refuses = 0;
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

// Symptom: a key that the system issued runs again after its node restarted.
// Sequence of events: issue, run, kill, restart, send again.
// Cause: the new process knows nothing of the old one's keys.
TEST(OnceFailureTest, IssuedKeyOfEarlierIncarnationIsUnknown) {
  OnceWorld world(Quiet());
  world.Run(Duration::Seconds(1));
  const std::string key = world.IssueKey(1);
  world.SendKey(0, key);
  world.Run(Duration::Seconds(3));
  world.Kill(1, Duration::Seconds(2));
  world.Run(Duration::Seconds(10));
  const RequestId again = world.SendKey(0, key);
  const RequestId guessed = world.SendKey(0, "gcw1.n1.2.1.12345");
  world.Run(Duration::Seconds(10));
  EXPECT_EQ(Find(world, again).told, Told::kEarlier);
  EXPECT_EQ(Find(world, guessed).refusal, RefusalKind::kOnceMismatch);
  EXPECT_EQ(world.Executions(key), 1);
}

// A caller that gives up and sends again at once gets the first answer.
TEST(OnceFailureTest, SecondSendWaitsForTheFirst) {
  OnceWorld world(Quiet());
  world.Run(Duration::Seconds(1));
  const RequestId first = world.SendKey(0, "key");
  const RequestId second = world.SendKey(1, "key");
  world.Run(Duration::Seconds(5));
  EXPECT_EQ(world.Executions("key"), 1);
  EXPECT_TRUE((Find(world, first).told == Told::kAnswered) !=
              (Find(world, second).told == Told::kAnswered));
}

// Symptom: second sends are refused after each planned stop.
// Sequence of events: a key runs; its owner is stopped as planned; the caller
// sends again.
// Cause: the shard waits for a lapse instead of being released.
TEST(OnceFailureTest, PlannedStopReleasesShards) {
  OnceWorldSettings settings = Quiet();
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
  EXPECT_EQ(Find(world, again).told, Told::kEarlier);
  EXPECT_EQ(world.violation(), "");
}

TEST(OnceShardTest, RefusesNewKeysWhenFullAndForgetsAfterTheWindow) {
  OnceShardSettings settings;
  settings.window = Duration::Seconds(10);
  settings.most_journal_bytes = 100;
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

// Symptom: a request that was answered runs again.
// Sequence of events: the sender reports the answer; a report "not run" of the
// same claim follows, for example late and out of order.
// Cause: the last report wins.
TEST(OnceShardTest, AnAnswerIsNotTakenBack) {
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
