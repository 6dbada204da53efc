#include "coordination/membership/membership.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "tests/support/member_cluster.h"

namespace gcw {
namespace {

// Messages pass only within `side` and within the rest.
void Split(MemberCluster& cluster, const std::set<NodeId>& side) {
  cluster.network().SetConnected([side](const NodeId& a, const NodeId& b) {
    return side.contains(a) == side.contains(b);
  });
}

// Each node's key comes to stand in the service after it has read the list of
// nodes; messages arrive only where the sender knows the address.
void RegisterLate(MemberCluster& cluster) {
  cluster.network().SetConnected([&](const NodeId& from, const NodeId& to) {
    return cluster.KnowsAddress(from, to);
  });
  cluster.Run(Duration::Seconds(2));
  for (std::size_t i = 0; i < cluster.nodes().size(); ++i) {
    cluster.Register(i);
  }
  cluster.Run(Duration::Seconds(10));
}

TEST(MembershipTest, NodesFindEachOtherThroughTheStore) {
  MemberCluster cluster(10, 1);
  cluster.Run(Duration::Seconds(5));
  EXPECT_TRUE(cluster.Agrees());
  EXPECT_EQ(cluster.changes(MemberState::kSuspect), 0);
}

// Symptom: nodes that started together do not see each other for half a minute;
// each takes the shards of the others over, and a second send of a request that
// ran is told that its outcome is unknown.
// Sequence: all nodes of a fleet start; each reads the list of nodes before any
// of them has its lease and its key.
// Cause: a list that was read before the node's own key stood in it passes for
// complete, and the next one is read much later.
TEST(MembershipTest, NodesThatStartTogetherFindEachOther) {
  constexpr std::size_t kNodes = 4;
  MemberCluster cluster(kNodes, 9);
  for (std::size_t i = 0; i < kNodes; ++i) {
    cluster.Unregister(i);
    cluster.RestartUnregistered(i);
  }
  RegisterLate(cluster);
  EXPECT_TRUE(cluster.Agrees());
}

// Symptom: as above, where the nodes start anew under their old ids.
// Sequence: the keys of the earlier runs, with addresses where nobody listens
// any more, still stand in the service when all nodes read the list.
// Cause: the key of the node's own earlier run passes for that of this run.
TEST(MembershipTest, NodesThatStartAnewTogetherFindEachOther) {
  constexpr std::size_t kNodes = 4;
  MemberCluster cluster(kNodes, 10);
  for (std::size_t i = 0; i < kNodes; ++i) {
    cluster.nodes()[i].record.peer_address =
        Address("10.0.1.1:7" + std::to_string(i));
    cluster.RestartUnregistered(i);
  }
  RegisterLate(cluster);
  EXPECT_TRUE(cluster.Agrees());
}

// Symptom: callers and work go on being sent to a dead node.
// Sequence: a node is killed.
// Cause: nobody probing it, or suspicion that never ends.
TEST(MembershipTest, KilledNodeIsSeenDeadByAll) {
  MemberCluster cluster(20, 2);
  cluster.Run(Duration::Seconds(10));
  cluster.nodes()[7].up = false;
  cluster.Run(Duration::Seconds(25));
  EXPECT_EQ(cluster.Seeing(7, MemberState::kDead), 19U);
  EXPECT_EQ(cluster.changes(MemberState::kDead), 19);
}

// Symptom: a healthy node is taken for dead.
// Sequence: one of the pair of paths between two nodes is cut; both run.
// Cause: judging by the direct probe alone.
TEST(MembershipTest, OneCutPathDoesNotMakeANodeSuspect) {
  MemberCluster cluster(8, 3);
  cluster.Run(Duration::Seconds(5));
  cluster.network().SetConnected([](const NodeId& a, const NodeId& b) {
    const std::set<NodeId> pair = {a, b};
    return pair != std::set<NodeId>{NodeId("n1"), NodeId("n2")};
  });
  cluster.Run(Duration::Seconds(120));
  EXPECT_EQ(cluster.changes(MemberState::kSuspect), 0);
}

// Symptom: nodes drop out and come back all day.
// Sequence: a tenth of all messages is lost.
// Cause: declaring a node dead without giving it time to refute.
TEST(MembershipTest, LossyNetworkKillsNobody) {
  MemberCluster cluster(20, 4);
  cluster.Run(Duration::Seconds(5));
  cluster.network().faults().lost = 0.1;
  cluster.Run(Duration::Seconds(600));
  EXPECT_EQ(cluster.changes(MemberState::kDead), 0);
  EXPECT_TRUE(cluster.Agrees());
}

// Symptom: a node that wakes reports healthy nodes as dead to the fleet.
// Sequence: a node is paused just after it sent probes and heard of suspects;
// it wakes half a minute later.
// Cause: taking its own pause for the silence of others.
TEST(MembershipTest, PausedNodeAccusesNobody) {
  MemberCluster cluster(10, 5);
  cluster.Run(Duration::Seconds(10));
  for (int round = 0; round < 20; ++round) {
    // Each round pauses at another point between a probe and its answer.
    cluster.Run(Duration::Millis(950 + 50 * round));
    cluster.Step();
    cluster.nodes()[3].paused = true;
    cluster.Run(Duration::Seconds(2));
    cluster.nodes()[3].paused = false;
    cluster.Run(Duration::Seconds(10));
  }
  EXPECT_EQ(cluster.suspected(), std::set<NodeId>{NodeId("n3")});
  EXPECT_EQ(cluster.changes(MemberState::kDead), 0);
}

// Symptom: a node that was long away stays dead to the others.
// Sequence: a node is paused until all see it dead; it wakes.
// Cause: a refutation that does not reach those who believe otherwise.
TEST(MembershipTest, LongPausedNodeComesBack) {
  MemberCluster cluster(10, 6);
  cluster.Run(Duration::Seconds(10));
  cluster.nodes()[3].paused = true;
  cluster.Run(Duration::Seconds(60));
  EXPECT_EQ(cluster.Seeing(3, MemberState::kDead), 9U);
  cluster.nodes()[3].paused = false;
  cluster.Run(Duration::Seconds(20));
  EXPECT_TRUE(cluster.Agrees());
}

// Symptom: the halves of a healed partition never see each other again.
// Sequence: two regions lose each other for an hour, until each takes the other
// for dead; then the network heals.
// Cause: nobody probes the dead.
TEST(MembershipTest, RegionsFindEachOtherAfterAnHour) {
  MemberCluster cluster(20, 7);
  cluster.Run(Duration::Seconds(10));
  std::set<NodeId> half;
  for (int i = 0; i < 10; ++i) {
    half.insert(NodeId("n" + std::to_string(i)));
  }
  Split(cluster, half);
  cluster.Run(Duration::Seconds(3600));
  EXPECT_EQ(cluster.Seeing(0, MemberState::kDead), 10U);
  Split(cluster, {});
  cluster.Run(Duration::Seconds(60));
  EXPECT_TRUE(cluster.Agrees());
}

// Symptom: a node that starts during an outage is alone, or is refused as old.
// Sequence: the service is away; a node starts anew under its old id, knowing
// one seed and no incarnation.
// Cause: an incarnation of zero beside the known one of its earlier process.
TEST(MembershipTest, NodeJoinsBySeedDuringAnOutage) {
  MemberCluster cluster(10, 8);
  cluster.Run(Duration::Seconds(10));
  cluster.link().SetOutage(cluster.now(), true);
  cluster.nodes()[9].up = false;
  cluster.Run(Duration::Seconds(30));
  ASSERT_EQ(cluster.Seeing(9, MemberState::kDead), 9U);
  cluster.nodes()[9].record.caller_address = Address("10.0.0.9:8000");
  cluster.Restart(9, {cluster.nodes()[2].record});
  cluster.Run(Duration::Seconds(6));
  EXPECT_EQ(cluster.nodes()[9].members->view().Owners().size(), 10U);
  cluster.Run(Duration::Seconds(30));
  EXPECT_TRUE(cluster.Agrees());
  EXPECT_EQ(cluster.nodes()[0]
                .members->view()
                .Find(NodeId("n9"))
                ->record.caller_address,
            Address("10.0.0.9:8000"));
}

// Symptom: callers are sent to a node that is leaving.
// Sequence: a node begins its planned stop.
// Cause: the news waiting its turn among other rumors.
TEST(MembershipTest, LeavingIsKnownToAllWithinTwoSeconds) {
  MemberCluster cluster(60, 9);
  cluster.Run(Duration::Seconds(20));
  cluster.Leave(5);
  const EntryDirectory directory({}, NodeId("n0"), SeededRandom(1));
  cluster.Run(Duration::Seconds(2));
  EXPECT_EQ(cluster.Seeing(5, MemberState::kLeaving), 59U);
  for (int i = 0; i < 20; ++i) {
    const View& view = cluster.nodes()[0].members->view();
    for (const EntryAddress& entry : directory.Answer(view).entries) {
      EXPECT_NE(entry.address, cluster.nodes()[5].record.caller_address);
    }
  }
}

// Symptom: a blocked request goes on crashing endpoints through other nodes, or
// a module is told the same news again and again.
// Sequence: a node spreads a block; messages are lost and doubled.
// Cause: rumors that die out or that are not recognised.
TEST(MembershipTest, DeltaReachesEveryNodeOnce) {
  MemberCluster cluster(40, 10);
  cluster.Run(Duration::Seconds(10));
  cluster.network().faults().lost = 0.1;
  cluster.network().faults().doubled = 0.2;
  const FingerprintDelta block{.fingerprint = Fingerprint(42),
                               .blocked = true,
                               .losses = 2,
                               .time_to_live = Duration::Seconds(600)};
  cluster.nodes()[0].members->Spread(block);
  cluster.Run(Duration::Seconds(20));
  for (std::size_t i = 1; i < 40; ++i) {
    EXPECT_EQ(cluster.nodes()[i].heard, std::vector<Delta>{block});
  }
}

TEST(MembershipTest, EachNodesCostDoesNotGrowWithTheFleet) {
  std::map<std::size_t, std::int64_t> bytes;
  for (const std::size_t count : {8U, 128U}) {
    MemberCluster cluster(count, 11);
    cluster.Run(Duration::Seconds(60));
    const std::int64_t before = cluster.sent_bytes();
    cluster.Run(Duration::Seconds(60));
    bytes[count] =
        (cluster.sent_bytes() - before) / static_cast<std::int64_t>(count);
  }
  EXPECT_LT(bytes[128], bytes[8] * 11 / 10);
}

// Symptom: after a bad hour some node is missing in some view for good, or a
// dead one stays in it.
// Sequence: any mix of kills, new starts with and without the service, pauses,
// cuts, losses and doubled and late messages; then quiet.
// Cause: versions of members that never come to agree.
RC_GTEST_PROP(MembershipProperty,
              ViewsAgreeOnceFaultsEnd,
              (std::uint64_t seed)) {
  MemberCluster cluster(8, seed);
  const Random& random = cluster.random();
  const std::vector<NodeRecord> seeds = {cluster.nodes()[0].record,
                                         cluster.nodes()[1].record};
  for (int round = 0; round < 60; ++round) {
    MemberCluster::Node& node = cluster.nodes()[DrawBelow(random, 8)];
    const std::size_t index = std::stoul(node.record.id.value().substr(1));
    FakeNetworkFaults& faults = cluster.network().faults();
    switch (DrawBelow(random, 6)) {
      case 0:
        node.up = false;
        break;
      case 1:
        cluster.Restart(index, seeds);
        break;
      case 2:
        node.paused ^= true;
        break;
      case 3:
        faults.lost = DrawUnit(random) / 2;
        faults.doubled = DrawUnit(random) / 2;
        faults.max_delay = Duration::Millis(
            static_cast<std::int64_t>(DrawBelow(random, 3000)) + 1);
        break;
      case 4:
        cluster.link().SetOutage(cluster.now(),
                                 !cluster.link().faults().outage);
        break;
      default:
        Split(cluster, {node.record.id, NodeId("n3"), NodeId("n6")});
    }
    cluster.Run(
        Duration::Millis(static_cast<std::int64_t>(DrawBelow(random, 5000))));
  }
  cluster.link().SetOutage(cluster.now(), false);
  cluster.network().faults() = FakeNetworkFaults();
  Split(cluster, {});
  for (MemberCluster::Node& node : cluster.nodes()) {
    node.paused = false;
    if (node.up && node.members->self().version.incarnation == Incarnation()) {
      cluster.Register(std::stoul(node.record.id.value().substr(1)));
    }
  }
  cluster.Run(Duration::Seconds(90));
  RC_ASSERT(cluster.Agrees());
}

}  // namespace
}  // namespace gcw
