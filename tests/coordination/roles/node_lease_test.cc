#include "coordination/roles/node_lease.h"

#include <gtest/gtest.h>

#include "tests/support/lease_cluster.h"

namespace gcw {
namespace {

// Guards against a node that relies on a lapsed lease: the reply to a renewal
// takes eight seconds, so the time to live must not be counted from the reply.
TEST(NodeLeaseTest, ValidityCountsFromWhenTheRenewalWasSent) {
  NodeLease lease =
      NodeLease::Builder().SetEncode(TextNodeCodec().encode).Build();
  const Time start = Time::FromMillis(1000);
  const auto grant = std::get<StoreRequest>(lease.Tick(start).front());
  const StoreLeaseReply granted{LeaseId(1), Duration::Seconds(15)};
  const auto put = std::get<StoreRequest>(
      lease.OnStoreReply(start, grant.id, granted).front());
  lease.OnStoreReply(start, put.id, StoreWritten{Revision(4)});
  ASSERT_TRUE(lease.Held(start));
  EXPECT_EQ(lease.Held(start)->valid_until, start + Duration::Seconds(13));
  EXPECT_EQ(lease.incarnation(), Incarnation(4));

  const Time sent = start + Duration::Seconds(5);
  const auto renewal = std::get<StoreRequest>(lease.Tick(sent).front());
  const Time answered = sent + Duration::Seconds(8) - Duration::Millis(100);
  lease.OnStoreReply(answered, renewal.id, granted);
  EXPECT_EQ(lease.Held(answered)->valid_until, sent + Duration::Seconds(13));
}

// Guards against a node that never recovers after it was paused for longer than
// its lease, because it goes on renewing a lease that no longer exists.
TEST(NodeLeaseTest, LapsedLeaseIsReplacedUnderAHigherIncarnation) {
  LeaseCluster cluster(1, 1);
  cluster.Run(Duration::Seconds(2));
  const Incarnation first = cluster.nodes()[0].lease->incarnation();
  cluster.nodes()[0].paused = true;
  cluster.Run(Duration::Seconds(30));
  cluster.nodes()[0].paused = false;
  cluster.Run(Duration::Seconds(2));
  ASSERT_TRUE(cluster.nodes()[0].lease->Held(cluster.now()));
  EXPECT_GT(cluster.nodes()[0].lease->incarnation(), first);
}

// Guards against roles that are lost in an outage shorter than the time to
// live, followed by a busy service: the backoff must not grow too long, and the
// lease must not be given up.
TEST(NodeLeaseTest, LeaseOutlivesAShortOutageAndABusyService) {
  LeaseCluster cluster(1, 2);
  cluster.Run(Duration::Seconds(4));
  const Incarnation first = cluster.nodes()[0].lease->incarnation();
  cluster.link().SetOutage(cluster.now(), true);
  cluster.Run(Duration::Seconds(6));
  EXPECT_FALSE(cluster.nodes()[0].lease->store_reachable());
  cluster.link().SetOutage(cluster.now(), false);
  cluster.link().faults().busy_rate = 0.5;
  cluster.Run(Duration::Seconds(60));
  EXPECT_TRUE(cluster.nodes()[0].lease->Held(cluster.now()));
  EXPECT_EQ(cluster.nodes()[0].lease->incarnation(), first);
}

// Guards against a record that disappears when its lease is replaced by a
// relaxed one.
TEST(NodeLeaseTest, RelaxedLeaseTakesOverTheRecord) {
  LeaseCluster cluster(1, 4);
  cluster.Run(Duration::Seconds(2));
  const auto lease_of_record = [&] {
    return cluster.link().store().entries().at("node/n0").lease;
  };
  const LeaseId first = lease_of_record();
  cluster.nodes()[0].lease->SetRelaxed(true);
  for (int i = 0; i < 40; ++i) {
    cluster.Run(Duration::Seconds(1));
    ASSERT_TRUE(cluster.link().store().entries().contains("node/n0"));
  }
  EXPECT_NE(lease_of_record(), first);
  EXPECT_FALSE(cluster.link().store().HasLease(first));
  EXPECT_TRUE(cluster.nodes()[0].lease->Held(cluster.now()));
}

TEST(NodeLeaseTest, PlannedStopFreesTheKeysAtOnce) {
  LeaseCluster cluster(1, 3);
  cluster.Run(Duration::Seconds(2));
  ASSERT_TRUE(cluster.link().store().entries().contains("node/n0"));
  cluster.Release(0);
  cluster.Run(Duration::Seconds(1));
  EXPECT_FALSE(cluster.link().store().entries().contains("node/n0"));
  EXPECT_FALSE(cluster.nodes()[0].lease->Held(cluster.now()));
}

}  // namespace
}  // namespace gcw
