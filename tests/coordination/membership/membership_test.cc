#include "coordination/membership/membership.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "tests/support/member_cluster.h"

namespace gcw {
namespace {

// Lets messages pass only among the nodes of `side` and among the others.
void SetPartition(MemberCluster& cluster, const std::set<NodeId>& side) {
  cluster.network().SetConnected([side](const NodeId& a, const NodeId& b) {
    return side.contains(a) == side.contains(b);
  });
}

// Registers each node in the service only after it has read the list of nodes.
// Messages arrive only if the sender knows the receiver's address.
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
  EXPECT_TRUE(cluster.HasConverged());
  EXPECT_EQ(cluster.changes(MemberState::kSuspect), 0);
}

// Guards against nodes that start together and do not see each other for half a
// minute. Each takes over the shards of the others, and a second send of a
// request that ran is told that its outcome is unknown. This happened if every
// node read the list before any had its lease and key, and took a list without
// its own key for complete.
TEST(MembershipTest, NodesThatStartTogetherFindEachOther) {
  constexpr std::size_t kNodes = 4;
  MemberCluster cluster(kNodes, 9);
  for (std::size_t i = 0; i < kNodes; ++i) {
    cluster.Unregister(i);
    cluster.RestartUnregistered(i);
  }
  RegisterLate(cluster);
  EXPECT_TRUE(cluster.HasConverged());
}

// The same with nodes that restart under their old ids, while the keys of their
// earlier runs, with addresses at which nothing listens, are still in the
// service. A node must not take the key of its earlier run for that of the
// current one.
TEST(MembershipTest, NodesThatRestartTogetherFindEachOther) {
  constexpr std::size_t kNodes = 4;
  MemberCluster cluster(kNodes, 10);
  for (std::size_t i = 0; i < kNodes; ++i) {
    cluster.nodes()[i].record.peer_address =
        Address("10.0.1.1:7" + std::to_string(i));
    cluster.RestartUnregistered(i);
  }
  RegisterLate(cluster);
  EXPECT_TRUE(cluster.HasConverged());
}

// Guards against callers and work being sent to a dead node because no node
// probes it or because its suspicion never expires.
TEST(MembershipTest, KilledNodeIsSeenDeadByAll) {
  MemberCluster cluster(20, 2);
  cluster.Run(Duration::Seconds(10));
  cluster.nodes()[7].up = false;
  cluster.Run(Duration::Seconds(25));
  EXPECT_EQ(cluster.CountNodesSeeing(7, MemberState::kDead), 19U);
  EXPECT_EQ(cluster.changes(MemberState::kDead), 19);
}

// Guards against declaring a healthy node dead if the path between it and one
// other node is cut and only the direct probe counts.
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

// Guards against nodes that repeatedly drop out and return while a tenth of all
// messages is lost, because they get no time to refute a suspicion.
TEST(MembershipTest, LossyNetworkMarksNoNodeDead) {
  MemberCluster cluster(20, 4);
  cluster.Run(Duration::Seconds(5));
  cluster.network().faults().loss_rate = 0.1;
  cluster.Run(Duration::Seconds(600));
  EXPECT_EQ(cluster.changes(MemberState::kDead), 0);
  EXPECT_TRUE(cluster.HasConverged());
}

// Guards against a node that reports healthy nodes as dead when it resumes
// after a pause that began while its probes and suspicions were pending: it
// takes the silence during its own pause for that of the others.
TEST(MembershipTest, PausedNodeSuspectsNobody) {
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

// Guards against a node that stays dead in the others' views after a long
// pause, because its refutation does not reach the nodes that believe it dead.
TEST(MembershipTest, LongPausedNodeRejoins) {
  MemberCluster cluster(10, 6);
  cluster.Run(Duration::Seconds(10));
  cluster.nodes()[3].paused = true;
  cluster.Run(Duration::Seconds(60));
  EXPECT_EQ(cluster.CountNodesSeeing(3, MemberState::kDead), 9U);
  cluster.nodes()[3].paused = false;
  cluster.Run(Duration::Seconds(20));
  EXPECT_TRUE(cluster.HasConverged());
}

// Guards against the halves of a healed partition never seeing each other
// again: after an hour each half takes the other for dead, and dead members are
// not probed.
TEST(MembershipTest, RegionsFindEachOtherAfterAnHour) {
  MemberCluster cluster(20, 7);
  cluster.Run(Duration::Seconds(10));
  std::set<NodeId> half;
  for (int i = 0; i < 10; ++i) {
    half.insert(NodeId("n" + std::to_string(i)));
  }
  SetPartition(cluster, half);
  cluster.Run(Duration::Seconds(3600));
  EXPECT_EQ(cluster.CountNodesSeeing(0, MemberState::kDead), 10U);
  SetPartition(cluster, {});
  cluster.Run(Duration::Seconds(60));
  EXPECT_TRUE(cluster.HasConverged());
}

// Guards against a node that is alone or rejected as outdated when it restarts
// under its old id while the service is unreachable: it knows one seed and no
// incarnation, which is lower than the known one of its earlier run.
TEST(MembershipTest, NodeJoinsBySeedDuringAnOutage) {
  MemberCluster cluster(10, 8);
  cluster.Run(Duration::Seconds(10));
  cluster.link().SetOutage(cluster.now(), true);
  cluster.nodes()[9].up = false;
  cluster.Run(Duration::Seconds(30));
  ASSERT_EQ(cluster.CountNodesSeeing(9, MemberState::kDead), 9U);
  cluster.nodes()[9].record.caller_address = Address("10.0.0.9:8000");
  cluster.Restart(9, {cluster.nodes()[2].record});
  cluster.Run(Duration::Seconds(6));
  EXPECT_EQ(cluster.nodes()[9].members->view().Owners().size(), 10U);
  cluster.Run(Duration::Seconds(30));
  EXPECT_TRUE(cluster.HasConverged());
  EXPECT_EQ(cluster.nodes()[0]
                .members->view()
                .Find(NodeId("n9"))
                ->record.caller_address,
            Address("10.0.0.9:8000"));
}

// Guards against callers being sent to a leaving node because the announcement
// waits in the queue behind other rumors.
TEST(MembershipTest, LeavingIsKnownToAllWithinTwoSeconds) {
  MemberCluster cluster(60, 9);
  cluster.Run(Duration::Seconds(20));
  cluster.Leave(5);
  const EntryDirectory directory({}, NodeId("n0"), SeededRandom(1));
  cluster.Run(Duration::Seconds(2));
  EXPECT_EQ(cluster.CountNodesSeeing(5, MemberState::kLeaving), 59U);
  for (int i = 0; i < 20; ++i) {
    const View& view = cluster.nodes()[0].members->view();
    for (const EntryAddress& entry : directory.SelectEntries(view).entries) {
      EXPECT_NE(entry.address, cluster.nodes()[5].record.caller_address);
    }
  }
}

// Guards against a block that does not reach all nodes, so that the request
// crashes more endpoints, and against a module that gets the same delta
// repeatedly, while messages are lost and duplicated.
TEST(MembershipTest, DeltaReachesEveryNodeOnce) {
  MemberCluster cluster(40, 10);
  cluster.Run(Duration::Seconds(10));
  cluster.network().faults().loss_rate = 0.1;
  cluster.network().faults().duplication_rate = 0.2;
  const FingerprintDelta block{.fingerprint = Fingerprint(42),
                               .blocked = true,
                               .losses = 2,
                               .time_to_live = Duration::Seconds(600)};
  cluster.nodes()[0].members->Broadcast(block);
  cluster.Run(Duration::Seconds(20));
  for (std::size_t i = 1; i < 40; ++i) {
    EXPECT_EQ(cluster.nodes()[i].received_deltas, std::vector<Delta>{block});
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

// Guards against views that stay different after any mix of kills, restarts
// with and without the service, pauses, partitions and lost, duplicated and
// late messages: a node missing from a view or a dead one that stays in it,
// because versions of members do not converge.
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
        faults.loss_rate = DrawUnit(random) / 2;
        faults.duplication_rate = DrawUnit(random) / 2;
        faults.max_delay = Duration::Millis(
            static_cast<std::int64_t>(DrawBelow(random, 3000)) + 1);
        break;
      case 4:
        cluster.link().SetOutage(cluster.now(),
                                 !cluster.link().faults().outage);
        break;
      default:
        SetPartition(cluster, {node.record.id, NodeId("n3"), NodeId("n6")});
    }
    cluster.Run(
        Duration::Millis(static_cast<std::int64_t>(DrawBelow(random, 5000))));
  }
  cluster.link().SetOutage(cluster.now(), false);
  cluster.network().faults() = FakeNetworkFaults();
  SetPartition(cluster, {});
  for (MemberCluster::Node& node : cluster.nodes()) {
    node.paused = false;
    if (node.up && node.members->self().version.incarnation == Incarnation()) {
      cluster.Register(std::stoul(node.record.id.value().substr(1)));
    }
  }
  cluster.Run(Duration::Seconds(90));
  RC_ASSERT(cluster.HasConverged());
}

}  // namespace
}  // namespace gcw
