#include <gtest/gtest.h>

#include <map>

#include "coordination/coordination.h"

namespace gcw {
namespace {

constexpr Time kStart = Time::FromMillis(1000000);

Replica MakeGroup(const std::string& vm) {
  Replica replica;
  replica.vm = VmId(vm);
  replica.service = ServiceId("llm");
  replica.model = ModelId("m");
  replica.group = GroupId("g" + vm);
  replica.generation = Generation(1);
  replica.zone = ZoneId("z");
  replica.slots = 26;
  replica.pass_ms = 50;
  replica.prompt_tokens_per_ms = 56;
  replica.service_ms = 1500;
  return replica;
}

class ReplicaSelectorTest : public testing::Test {
 protected:
  ReplicaSelectorTest()
      : selector_({}, ZoneId("z"), SeededRandom(5), DiscardEvents()) {
    selector_.SetReplicas(now_,
                          {MakeGroup("a"), MakeGroup("b"), MakeGroup("c")});
  }

  Result<ReplicaChoice, RefusalKind> Choose(std::vector<VmId> excluded = {}) {
    return selector_.Choose(
        now_, {ServiceId("llm"), ModelId("m"), TokenCount(1000), {}, {}, {}},
        excluded);
  }
  AttemptNumber Send(const std::string& vm) {
    return selector_.OnSent(now_, VmId(vm), TokenCount(1000), true);
  }
  void Advance(std::int64_t millis) { now_ = now_ + Duration::Millis(millis); }

  Time now_ = kStart;
  ReplicaSelector selector_;
};

// Guards against a new group that gets every request of every node at once,
// because all nodes have the same old report. Each node corrects the report by
// what it sent and adds a random amount.
TEST_F(ReplicaSelectorTest, SpreadsOverReplicasWithTheSameReports) {
  std::map<VmId, int> chosen;
  for (int i = 0; i < 60; ++i) {
    const VmId vm = ValueOf(Choose()).replica.vm;
    ++chosen[vm];
    selector_.OnSent(now_, vm, TokenCount(1000), true);
  }
  for (const auto& [vm, count] : chosen) {
    EXPECT_GT(count, 10) << vm;
  }
}

// Guards against a restarted VM that gets no requests: it crashes with requests
// in flight and starts again under the same id, and the load of its earlier run
// must not count for the new one.
TEST_F(ReplicaSelectorTest, RestartedVmStartsWithoutLoad) {
  Replica replica = MakeGroup("a");
  selector_.SetReplicas(now_, {replica});
  for (int i = 0; i < 100; ++i) {
    selector_.OnSent(now_, VmId("a"), TokenCount(100), true);
  }
  EXPECT_FALSE(IsOk(Choose()));
  replica.incarnation = Incarnation(2);
  selector_.SetReplicas(now_, {replica});
  EXPECT_TRUE(IsOk(Choose()));
}

TEST_F(ReplicaSelectorTest, LeavesOutAReplicaThatReportsAFullBatch) {
  selector_.OnLoad(now_, VmId("a"), {26, 20, 26});
  for (int i = 0; i < 20; ++i) {
    EXPECT_NE(ValueOf(Choose()).replica.vm, VmId("a"));
  }
}

// Guards against all nodes sending their requests to one group in turn: known
// loads are a second or more old, so if every node compared all groups, each
// would choose the one that last looked least loaded.
TEST_F(ReplicaSelectorTest, LeastLoadedReplicaDoesNotGetAllRequests) {
  selector_.OnLoad(now_, VmId("a"), {0, 0, 26});
  selector_.OnLoad(now_, VmId("b"), {26, 0, 26});
  selector_.OnLoad(now_, VmId("c"), {26, 0, 26});
  std::map<VmId, int> chosen;
  for (int i = 0; i < 300; ++i) {
    ++chosen[ValueOf(Choose()).replica.vm];
  }
  EXPECT_GT(chosen[VmId("a")], 150);
  EXPECT_LT(chosen[VmId("a")], 250);
}

TEST_F(ReplicaSelectorTest, DeferredRequestsLeaveRoomForPrioritizedOnes) {
  for (const char* vm : {"a", "b", "c"}) {
    selector_.OnLoad(now_, VmId(vm), {26, 24, 26});
  }
  ReplicaDemand demand{ServiceId("llm"), ModelId("m"), TokenCount(1000),
                       Urgency::kOnTime, {},           {}};
  EXPECT_TRUE(IsOk(selector_.Choose(now_, demand, {})));
  demand.urgency = Urgency::kDeferred;
  EXPECT_EQ(ErrorOf(selector_.Choose(now_, demand, {})),
            RefusalKind::kNoCapacity);
}

// Guards against requests that are still sent to a group whose streams have
// stopped: a group that lost a member sends nothing for seconds.
TEST_F(ReplicaSelectorTest, DetectsAStalledGroupByItsStreams) {
  const AttemptNumber stalled = Send("a");
  selector_.OnProgress(now_, stalled);
  const AttemptNumber active = Send("b");
  for (int i = 0; i < 9; ++i) {
    Advance(50);
    selector_.OnProgress(now_, active);
    if (i < 8) {
      selector_.Tick(now_);
      EXPECT_FALSE(selector_.IsInDoubt(stalled)) << i;
    }
  }
  selector_.Tick(now_);
  EXPECT_TRUE(selector_.IsInDoubt(stalled));
  EXPECT_FALSE(selector_.IsInDoubt(active));
  // Other nodes are told once the endpoint has accepted a new connection.
  ASSERT_EQ(selector_.TakePathChecks().size(), 1U);
  EXPECT_TRUE(selector_.TakeStalledReplicas().empty());
  selector_.OnPathCheck(VmId("a"), true);
  const std::vector<Replica> found = selector_.TakeStalledReplicas();
  ASSERT_EQ(found.size(), 1U);
  EXPECT_EQ(found.front().vm, VmId("a"));
  for (int i = 0; i < 20; ++i) {
    EXPECT_NE(ValueOf(Choose()).replica.vm, VmId("a"));
  }
  // The group makes progress again: it was only slow, and its measured slowness
  // expires after a while.
  selector_.OnProgress(now_, stalled);
  EXPECT_NE(ValueOf(Choose()).replica.vm, VmId("a"));
  Advance(2500);
  bool chosen = false;
  for (int i = 0; i < 50; ++i) {
    chosen = chosen || ValueOf(Choose()).replica.vm == VmId("a");
  }
  EXPECT_TRUE(chosen);
}

// Guards against excluding groups that are merely full, which moves their
// streams and re-reads their prompts elsewhere until the next group is full. In
// a fleet of 72 nodes the only request of one node can wait in a queue for
// longer than the limit, so a node must not take its own few streams for all of
// the group's.
TEST_F(ReplicaSelectorTest, AsksOtherNodesBeforeAGroupCountsAsStalled) {
  selector_.SetNodeCount(72);
  const AttemptNumber waiting = Send("a");
  Advance(1600);
  selector_.Tick(now_);
  EXPECT_FALSE(selector_.IsInDoubt(waiting));
  const std::vector<Replica> suspected = selector_.TakeSuspectedStalls();
  ASSERT_EQ(suspected.size(), 1U);
  EXPECT_EQ(suspected.front().vm, VmId("a"));
  Advance(20);
  selector_.OnPeerProgress(now_, VmId("a"), Generation(1),
                           Duration::Millis(60));
  Advance(400);
  selector_.Tick(now_);
  EXPECT_FALSE(selector_.IsInDoubt(waiting));
  EXPECT_TRUE(selector_.TakeSuspectedStalls().empty());
  EXPECT_TRUE(selector_.TakeStalledReplicas().empty());
  // Progress that another node saw does not count as this node's own.
  EXPECT_FALSE(selector_.LocalProgress(VmId("a"), Generation(1)).has_value());
}

// Guards against a sound group that all nodes avoid because one of them lost
// its path to the first member.
TEST_F(ReplicaSelectorTest, AnUnreachableEndpointIsNotAnnouncedAsStalled) {
  selector_.SetNodeCount(72);
  const AttemptNumber silent = Send("a");
  selector_.OnProgress(now_, silent);
  Advance(450);
  selector_.Tick(now_);
  EXPECT_FALSE(selector_.IsInDoubt(silent));
  Advance(80);
  selector_.Tick(now_);
  EXPECT_TRUE(selector_.IsInDoubt(silent));
  selector_.OnPathCheck(VmId("a"), false);
  EXPECT_TRUE(selector_.TakeStalledReplicas().empty());
  EXPECT_EQ(selector_.TakeUnreachableReplicas().size(), 1U);
}

// Guards against streams that hang at a group that other nodes still hear from.
TEST_F(ReplicaSelectorTest, StreamsLeaveAnEndpointThatOnlyOthersReach) {
  selector_.SetNodeCount(72);
  const AttemptNumber silent = Send("a");
  selector_.OnProgress(now_, silent);
  for (int i = 0; i < 5; ++i) {
    Advance(100);
    selector_.OnPeerProgress(now_, VmId("a"), Generation(1), Duration());
    selector_.Tick(now_);
    EXPECT_FALSE(selector_.IsInDoubt(silent));
  }
  ASSERT_EQ(selector_.TakePathChecks().size(), 1U);
  selector_.OnPathCheck(VmId("a"), false);
  EXPECT_TRUE(selector_.IsInDoubt(silent));
  EXPECT_TRUE(selector_.TakeStalledReplicas().empty());
}

TEST_F(ReplicaSelectorTest, GroupCountsAsStalledIfNoOtherNodeSawProgress) {
  selector_.SetNodeCount(72);
  const AttemptNumber stalled = Send("a");
  selector_.OnProgress(now_, stalled);
  Advance(450);
  selector_.Tick(now_);
  EXPECT_FALSE(selector_.IsInDoubt(stalled));
  // An old report, or one of an earlier group, is no evidence of progress.
  selector_.OnPeerProgress(now_, VmId("a"), Generation(1),
                           Duration::Millis(460));
  selector_.OnPeerProgress(now_, VmId("a"), Generation(9), Duration());
  Advance(80);
  selector_.Tick(now_);
  EXPECT_TRUE(selector_.IsInDoubt(stalled));
  selector_.OnPathCheck(VmId("a"), true);
  EXPECT_EQ(selector_.TakeStalledReplicas().size(), 1U);
}

TEST_F(ReplicaSelectorTest, NewGenerationStartsWithoutHistory) {
  const AttemptNumber stalled = Send("a");
  selector_.OnProgress(now_, stalled);
  Advance(600);
  selector_.Tick(now_);
  Replica regrouped = MakeGroup("a");
  regrouped.generation = Generation(2);
  selector_.SetReplicas(now_, {regrouped});
  EXPECT_TRUE(IsOk(Choose()));
  // The old attempt's end says nothing about the new group.
  selector_.OnEnded(now_, stalled, ForwardEndKind::kConnectionBroken);
  EXPECT_TRUE(IsOk(Choose()));
}

TEST_F(ReplicaSelectorTest, RecentProgressOutweighsAnotherNodesReport) {
  const AttemptNumber active = Send("a");
  selector_.OnProgress(now_, active);
  selector_.OnPeerStall(now_, VmId("a"), Generation(1));
  EXPECT_FALSE(selector_.IsInDoubt(active));
  const AttemptNumber other = Send("b");
  selector_.OnPeerStall(now_, VmId("b"), Generation(9));
  EXPECT_FALSE(selector_.IsInDoubt(other));
}

// Guards against a sound group that stays excluded after a pause because
// nothing runs there that could show progress.
TEST_F(ReplicaSelectorTest, AStalledReplicaWithoutStreamsGetsOneTrial) {
  const AttemptNumber stalled = Send("a");
  selector_.OnProgress(now_, stalled);
  Advance(500);
  selector_.Tick(now_);
  ASSERT_TRUE(selector_.IsInDoubt(stalled));
  Advance(1500);
  EXPECT_FALSE(IsOk(Choose({VmId("b"), VmId("c")})));
  selector_.OnCancelled(stalled);
  ASSERT_TRUE(IsOk(Choose({VmId("b"), VmId("c")})));
  const AttemptNumber trial = Send("a");
  EXPECT_FALSE(IsOk(Choose({VmId("b"), VmId("c")})));
  selector_.OnProgress(now_, trial);
  EXPECT_TRUE(IsOk(Choose({VmId("b"), VmId("c")})));
}

// Guards against second attempts at replicas that fell silent with the first.
TEST_F(ReplicaSelectorTest, ASecondAttemptGoesToAReplicaThatWasHeard) {
  const AttemptNumber silent = Send("a");
  const AttemptNumber also_silent = Send("b");
  const AttemptNumber active = Send("c");
  for (const AttemptNumber attempt : {silent, also_silent, active}) {
    selector_.OnProgress(now_, attempt);
  }
  const Time silent_since = now_;
  Advance(300);
  selector_.OnProgress(now_, active);
  ReplicaDemand demand{
      ServiceId("llm"), ModelId("m"), TokenCount(1000), {}, {}, {}};
  demand.heard_since = silent_since;
  for (int i = 0; i < 20; ++i) {
    EXPECT_EQ(ValueOf(selector_.Choose(now_, demand, {})).replica.vm,
              VmId("c"));
  }
  const std::vector<VmId> excluded = {VmId("c")};
  EXPECT_FALSE(IsOk(selector_.Choose(now_, demand, excluded)));
}

// Guards against a replica that fails at once and attracts all requests because
// it looks idle.
TEST_F(ReplicaSelectorTest, LeavesOutAFailingReplicaAndRetriesItLater) {
  const AttemptNumber failed = Send("a");
  selector_.OnEnded(now_, failed, ForwardEndKind::kEndpointFailed);
  for (int i = 0; i < 20; ++i) {
    EXPECT_NE(ValueOf(Choose()).replica.vm, VmId("a"));
  }
  Advance(400);
  bool chosen = false;
  for (int i = 0; i < 50; ++i) {
    chosen = chosen || ValueOf(Choose()).replica.vm == VmId("a");
  }
  EXPECT_TRUE(chosen);
}

// Guards against sending, and paying for, half of the requests across data
// centres although the node's own one has room: with two drawn from all groups,
// four of ten draws contain none of the own data centre.
TEST_F(ReplicaSelectorTest, UsesOtherDataCentresOnlyIfTheOwnOneIsBusier) {
  std::vector<Replica> replicas;
  for (const char* vm : {"a", "b", "c", "d", "e", "f"}) {
    replicas.push_back(MakeGroup(vm));
    replicas.back().zone = ZoneId(vm < std::string("c") ? "z" : "other");
  }
  selector_.SetReplicas(now_, replicas);
  int near = 0;
  for (int i = 0; i < 100; ++i) {
    near += ValueOf(Choose()).replica.zone == ZoneId("z") ? 1 : 0;
  }
  EXPECT_EQ(near, 100);
  selector_.OnLoad(now_, VmId("a"), {26, 5, 26});
  selector_.OnLoad(now_, VmId("b"), {26, 5, 26});
  for (int i = 0; i < 100; ++i) {
    EXPECT_EQ(ValueOf(Choose()).replica.zone, ZoneId("other"));
  }
}

TEST_F(ReplicaSelectorTest, DistinguishesNoReplicaFromNoCapacity) {
  EXPECT_EQ(ErrorOf(Choose({VmId("a"), VmId("b"), VmId("c")})),
            RefusalKind::kNoEndpoint);
  for (const char* vm : {"a", "b", "c"}) {
    selector_.OnLoad(now_, VmId(vm), {26, 40, 26});
  }
  EXPECT_EQ(ErrorOf(Choose()), RefusalKind::kNoCapacity);
}

}  // namespace
}  // namespace gcw
