#include "coordination/configuration/config_sync.h"

#include <gtest/gtest.h>

#include "tests/support/config_cluster.h"

namespace gcw {
namespace {

constexpr char kKey[] = "contract/oblak";

Revision AcceptedRevision(const ChangeOutcome& outcome) {
  const auto* accepted = std::get_if<ChangeAccepted>(&outcome);
  return accepted == nullptr ? Revision() : accepted->revision;
}

std::string ValueAt(const ConfigCluster& cluster, std::size_t node) {
  const ConfigEntry* entry = cluster.store_of(node).Find(kKey);
  return entry == nullptr ? "none" : entry->record.value.value_or("withdrawn");
}

// Cuts `nodes` off from the other nodes and from the key-value service.
void Isolate(ConfigCluster& cluster, const std::set<NodeId>& nodes) {
  cluster.network().SetConnected([nodes](const NodeId& a, const NodeId& b) {
    return nodes.contains(a) == nodes.contains(b);
  });
  cluster.link().SetReachable([nodes](const std::string& caller) {
    return !nodes.contains(NodeId("n" + caller.substr(0, caller.find('/'))));
  });
}

TEST(ConfigSyncTest, ChangeReachesAllNodesAndIsConfirmed) {
  ConfigCluster cluster(8, 1);
  cluster.Run(Duration::Seconds(5));
  for (const auto& node : cluster.nodes()) {
    ASSERT_TRUE(node.sync->ready());
  }
  const Revision revision =
      AcceptedRevision(cluster.Settle(3, kKey, "a", Revision()));
  ASSERT_GT(revision, Revision());
  cluster.Run(Duration::Seconds(2));
  EXPECT_TRUE(cluster.Converged());
  EXPECT_TRUE(cluster.nodes()[0].sync->Confirmation(revision).pending.size() <
              8U);
  cluster.Run(Duration::Seconds(15));
  EXPECT_TRUE(cluster.nodes()[0].sync->floor() >= revision);
}

TEST(ConfigSyncTest, OnlyAFewNodesWatch) {
  ConfigCluster cluster(20, 2);
  cluster.Run(Duration::Seconds(10));
  // Two nodes in each of two zones watch two prefixes each.
  EXPECT_EQ(cluster.link().waiting_watches(), 8U);
}

// Guards against accepting a change before its compare-and-swap is known to be
// committed: two operators change the same version through different nodes at
// the same time, and a third withdraws it.
TEST(ConfigSyncTest, ExactlyOneOfRacingChangesWins) {
  ConfigCluster cluster(4, 3);
  cluster.Run(Duration::Seconds(5));
  const Revision base =
      AcceptedRevision(cluster.Settle(0, kKey, "a", Revision()));
  cluster.Run(Duration::Seconds(2));
  const std::vector<ChangeId> changes = {
      cluster.Propose(1, kKey, "b", base), cluster.Propose(2, kKey, "c", base),
      cluster.Propose(3, kKey, std::nullopt, base)};
  cluster.Run(Duration::Seconds(5));
  int accepted = 0;
  for (const ChangeId& change : changes) {
    const ChangeOutcome& outcome = cluster.outcomes().at(change);
    if (std::holds_alternative<ChangeAccepted>(outcome)) {
      ++accepted;
      continue;
    }
    const auto* conflict = std::get_if<ChangeConflict>(&outcome);
    ASSERT_NE(conflict, nullptr);
    ASSERT_TRUE(conflict->current);
    EXPECT_GT(conflict->current->revision, base);
  }
  EXPECT_EQ(accepted, 1);
  EXPECT_TRUE(cluster.Converged());
}

// Guards against reporting a conflict for a committed change: the answer to its
// put is lost, and another operator replaces the value before the first node
// reads it back, so that the key's last change is no longer this one.
TEST(ConfigSyncTest, LostAnswerIsSettledAfterAnotherChangeFollowed) {
  ConfigCluster cluster(2, 4);
  cluster.Run(Duration::Seconds(5));
  cluster.link().faults().reply_loss_rate = 1;
  const ChangeId first = cluster.Propose(0, kKey, "a", Revision());
  cluster.Run(Duration::Millis(100));
  ASSERT_EQ(cluster.link().store().entries().count(kKey), 1U);
  const Revision written = cluster.link().store().entries().at(kKey).revision;
  cluster.link().faults().reply_loss_rate = 0;
  EXPECT_GT(AcceptedRevision(cluster.Settle(1, kKey, "b", written)), written);
  cluster.Run(Duration::Seconds(10));
  EXPECT_EQ(AcceptedRevision(cluster.outcomes().at(first)), written);
}

// Guards against an outcome that only the first node can determine: it answers
// "outcome unknown" during an outage, and the operator asks again through
// another node.
TEST(ConfigSyncTest, RepeatingAChangeThroughAnotherNodeSettlesIt) {
  ConfigCluster cluster(3, 5);
  cluster.Run(Duration::Seconds(5));
  cluster.link().faults().reply_loss_rate = 1;
  const ChangeId change = cluster.Propose(0, kKey, "a", Revision());
  cluster.Run(Duration::Millis(100));
  cluster.link().SetOutage(cluster.now(), true);
  cluster.Run(Duration::Seconds(12));
  const auto* unavailable =
      std::get_if<ChangeUnavailable>(&cluster.outcomes().at(change));
  ASSERT_NE(unavailable, nullptr);
  EXPECT_EQ(unavailable->kind, ChangeUnavailableKind::kOutcomeUnknown);
  cluster.link().SetOutage(cluster.now(), false);
  cluster.link().faults().reply_loss_rate = 0;
  cluster.Propose(1, {kKey, "a", Revision(), change, true});
  cluster.Run(Duration::Seconds(5));
  EXPECT_EQ(AcceptedRevision(cluster.outcomes().at(change)),
            cluster.link().store().entries().at(kKey).revision);
}

// Guards against reporting a conflict for a committed change that the key's
// history no longer names: the answer is lost, the node restarts, nine changes
// follow, and the operator asks again.
TEST(ConfigSyncTest, ChangeOutsideTheHistoryHasUnknownOutcome) {
  ConfigCluster cluster(3, 14);
  cluster.Run(Duration::Seconds(5));
  cluster.link().faults().reply_loss_rate = 1;
  const ChangeId change = cluster.Propose(0, kKey, "a", Revision());
  cluster.Run(Duration::Millis(100));
  cluster.Restart(0);
  cluster.link().faults().reply_loss_rate = 0;
  Revision at = cluster.link().store().entries().at(kKey).revision;
  for (int i = 0; i < 9; ++i) {
    at = AcceptedRevision(cluster.Settle(1, kKey, "v" + std::to_string(i), at));
  }
  cluster.Propose(1, {kKey, "a", Revision(), change, true});
  cluster.Run(Duration::Seconds(5));
  const auto* unavailable =
      std::get_if<ChangeUnavailable>(&cluster.outcomes().at(change));
  ASSERT_NE(unavailable, nullptr);
  EXPECT_EQ(unavailable->kind, ChangeUnavailableKind::kOutcomeUnknown);
}

// Guards against a withdrawn contract that returns because the withdrawal left
// no version to compare with: a delayed push of an earlier version arrives
// after it.
TEST(ConfigSyncTest, LateMessageDoesNotRestoreAWithdrawnKey) {
  ConfigCluster cluster(3, 6);
  cluster.Run(Duration::Seconds(5));
  const Revision first =
      AcceptedRevision(cluster.Settle(0, kKey, "a", Revision()));
  cluster.Run(Duration::Seconds(2));
  const ConfigEntry old = *cluster.store_of(1).Find(kKey);
  cluster.Settle(0, kKey, std::nullopt, first);
  cluster.Run(Duration::Seconds(2));
  cluster.network().Send(cluster.now(), NodeId("n0"), NodeId("n1"),
                         ConfigPush{Revision(), Revision(), {old}});
  cluster.Run(Duration::Seconds(1));
  EXPECT_EQ(ValueAt(cluster, 1), "withdrawn");
  EXPECT_FALSE(cluster.nodes()[1].reverted);
}

// Guards against treating the last message as the newest version: a node is
// paused while three changes are accepted, and on resuming it receives its old
// messages and replies first.
TEST(ConfigSyncTest, PausedNodeCatchesUpOverSeveralChanges) {
  ConfigCluster cluster(6, 7);
  cluster.Run(Duration::Seconds(5));
  cluster.nodes()[2].paused = true;
  Revision at;
  for (const char* value : {"a", "b", "c"}) {
    at = AcceptedRevision(cluster.Settle(0, kKey, value, at));
    ASSERT_GT(at, Revision());
  }
  cluster.Run(Duration::Seconds(60));
  cluster.nodes()[2].paused = false;
  cluster.Run(Duration::Seconds(5));
  EXPECT_EQ(ValueAt(cluster, 2), "c");
  EXPECT_FALSE(cluster.nodes()[2].reverted);
}

// Guards against relying on pushes that are sent only once: half of the nodes
// are cut off from the others and the service while a change is accepted, and
// would stay out of date after the partition heals.
TEST(ConfigSyncTest, PartitionHeals) {
  ConfigCluster cluster(8, 8);
  cluster.Run(Duration::Seconds(5));
  const std::set<NodeId> isolated = {NodeId("n4"), NodeId("n5"), NodeId("n6"),
                                     NodeId("n7")};
  Isolate(cluster, isolated);
  cluster.Settle(0, kKey, "a", Revision());
  cluster.Run(Duration::Seconds(30));
  EXPECT_EQ(ValueAt(cluster, 5), "none");
  Isolate(cluster, {});
  cluster.Run(Duration::Seconds(10));
  EXPECT_TRUE(cluster.Converged());
}

class EmptyStartTest : public ::testing::Test {
 protected:
  // n1 holds the first version and the other nodes hold the second when the
  // service fails.
  EmptyStartTest() : cluster_(4, 9) {
    cluster_.Run(Duration::Seconds(5));
    first_ = AcceptedRevision(cluster_.Settle(0, kKey, "old", Revision()));
    cluster_.Run(Duration::Seconds(20));
    Isolate(cluster_, {NodeId("n1")});
    second_ = AcceptedRevision(cluster_.Settle(0, kKey, "new", first_));
    cluster_.Run(Duration::Seconds(5));
    Isolate(cluster_, {});
    cluster_.link().SetOutage(cluster_.now(), true);
  }

  void ConnectOnly(const std::set<NodeId>& nodes) {
    cluster_.network().SetConnected([nodes](const NodeId& a, const NodeId& b) {
      return nodes.contains(a) && nodes.contains(b);
    });
  }

  ConfigCluster cluster_;
  Revision first_;
  Revision second_;
};

// Guards against a node that is ready with the first copy it receives: the
// service is unreachable, and an empty node hears from an outdated peer first
// and from a current one only after a pause and lost messages.
TEST_F(EmptyStartTest, IsNotReadyBeforeItHoldsTheNewestReachableVersion) {
  ConnectOnly({NodeId("n0"), NodeId("n1"), NodeId("n2")});
  cluster_.network().faults().loss_rate = 0.1;
  for (int round = 0; round < 50; ++round) {
    cluster_.Restart(0);
    cluster_.nodes()[2].paused = true;
    cluster_.Run(Duration::Seconds(3));
    cluster_.nodes()[2].paused = false;
    while (!cluster_.nodes()[0].sync->ready()) {
      ASSERT_LT(cluster_.now(), Time::FromMillis(5000000));
      cluster_.Step();
    }
    ASSERT_EQ(ValueAt(cluster_, 0), "new");
  }
}

// If only an outdated peer is reachable, the node serves by the newest version
// of any reachable source, as guaranteed, and updates once current peers become
// reachable.
TEST_F(EmptyStartTest, ServesTheNewestReachableVersionAndCatchesUp) {
  ConnectOnly({NodeId("n0"), NodeId("n1")});
  cluster_.Restart(0);
  cluster_.Run(Duration::Seconds(15));
  ASSERT_TRUE(cluster_.nodes()[0].sync->ready());
  ConnectOnly({NodeId("n0"), NodeId("n1"), NodeId("n2"), NodeId("n3")});
  cluster_.Run(Duration::Seconds(10));
  EXPECT_EQ(ValueAt(cluster_, 0), "new");
  EXPECT_EQ(cluster_.store_of(1).newest(), second_);
  EXPECT_FALSE(cluster_.nodes()[0].reverted);
}

// Guards against empty nodes that make each other ready: if all nodes restart
// while the service is unreachable, the fleet would serve without contracts.
TEST_F(EmptyStartTest, EmptyPeersDoNotMakeANodeReady) {
  for (std::size_t i = 0; i < cluster_.nodes().size(); ++i) {
    cluster_.Restart(i);
  }
  cluster_.Run(Duration::Seconds(60));
  for (const auto& node : cluster_.nodes()) {
    EXPECT_FALSE(node.sync->ready());
  }
  cluster_.link().SetOutage(cluster_.now(), false);
  cluster_.Run(Duration::Seconds(20));
  EXPECT_TRUE(cluster_.Converged());
  EXPECT_TRUE(cluster_.nodes()[0].sync->ready());
}

// Guards against trusting the service over changes that nodes know to be
// accepted: the service is restored from a backup taken before a change, the
// nodes read it again, and one of them restarts.
TEST(ConfigSyncTest, RestoredServiceIsDetectedAndReported) {
  ConfigCluster cluster(6, 10);
  cluster.Run(Duration::Seconds(5));
  const Revision first =
      AcceptedRevision(cluster.Settle(0, kKey, "a", Revision()));
  cluster.link().Snapshot();
  const Revision second = AcceptedRevision(cluster.Settle(0, kKey, "b", first));
  cluster.Run(Duration::Seconds(5));
  cluster.link().Restore();
  cluster.Run(Duration::Seconds(120));
  EXPECT_GT(cluster.events(EventKind::kStoreRolledBack), 0);
  for (std::size_t i = 0; i < 6; ++i) {
    EXPECT_EQ(ValueAt(cluster, i), "b");
    EXPECT_EQ(cluster.nodes()[i].sync->state(), ConfigState::kStoreRolledBack);
  }
  const ChangeOutcome outcome = cluster.Settle(1, kKey, "c", second);
  ASSERT_TRUE(std::holds_alternative<ChangeUnavailable>(outcome));
  EXPECT_EQ(std::get<ChangeUnavailable>(outcome).kind,
            ChangeUnavailableKind::kStoreRolledBack);
  // A node that starts now takes its peers' copy instead of the service's.
  cluster.Restart(2);
  cluster.Run(Duration::Seconds(30));
  EXPECT_TRUE(cluster.nodes()[2].sync->ready());
  EXPECT_EQ(ValueAt(cluster, 2), "b");
}

// Guards against detecting a restore only by the service's revision counter:
// the administrators restore a backup that lacks a change and raise the counter
// above all earlier revisions, as they should.
TEST(ConfigSyncTest, RestoredServiceWithARaisedCounterIsDetected) {
  ConfigCluster cluster(4, 13);
  cluster.Run(Duration::Seconds(5));
  const Revision first =
      AcceptedRevision(cluster.Settle(0, kKey, "a", Revision()));
  cluster.link().Snapshot();
  cluster.Settle(0, kKey, "b", first);
  cluster.Run(Duration::Seconds(5));
  cluster.link().Restore();
  cluster.link().store().BumpRevision(Revision(1000));
  cluster.Run(Duration::Seconds(120));
  for (std::size_t i = 0; i < 4; ++i) {
    EXPECT_EQ(ValueAt(cluster, i), "b");
    EXPECT_EQ(cluster.nodes()[i].sync->state(), ConfigState::kStoreRolledBack);
  }
}

// Guards against a false alarm: reads that the service answers from an old
// state do not prove that it was restored.
TEST(ConfigSyncTest, StaleReadsAreNotTakenForARestore) {
  ConfigCluster cluster(6, 11);
  cluster.Run(Duration::Seconds(5));
  cluster.link().Snapshot();
  cluster.Settle(0, kKey, "a", Revision());
  cluster.link().faults().stale_read_rate = 0.3;
  cluster.Run(Duration::Seconds(300));
  cluster.link().faults().stale_read_rate = 1;
  cluster.Run(Duration::Seconds(60));
  EXPECT_EQ(cluster.events(EventKind::kStoreRolledBack), 0);
  EXPECT_TRUE(cluster.Converged());
}

// Guards against a burst of reads after an outage: every node's routine read
// becomes due during the ten minutes, and each node would repeat its read until
// it succeeds.
TEST(ConfigSyncTest, RecoveryOfTheServiceCausesNoReadBurst) {
  ConfigCluster cluster(40, 12);
  cluster.Run(Duration::Seconds(10));
  cluster.link().SetOutage(cluster.now(), true);
  cluster.Run(Duration::Seconds(600));
  cluster.link().SetOutage(cluster.now(), false);
  const std::int64_t before = cluster.link().calls();
  cluster.Run(Duration::Seconds(10));
  // Four watchers read two prefixes each, and two routine reads may become due.
  EXPECT_LT(cluster.link().calls() - before, 30);
}

}  // namespace
}  // namespace gcw
