#include <gtest/gtest.h>

#include <map>

#include "coordination/coordination.h"
#include "tests/support/gateway_world.h"

namespace gcw {
namespace {

class GatewayCoreTest : public testing::Test {
 protected:
  GatewayCoreTest() : world_(2, 1, 11, 3) {
    EXPECT_TRUE(world_.RunUntil(Duration::Seconds(12), [this] {
      return world_.open_groups("large") == 1 &&
             world_.open_groups("small") == 1;
    }));
    world_.Run(Duration::Seconds(1));
  }

  ForwardStep SendRequest(std::size_t node) {
    ForwardRequest request;
    request.id = RequestId("q");
    request.host = "h";
    request.path = "/m/x";
    request.model = ModelId("large");
    return world_.node(node).core->OnArrived(world_.now(), request).step;
  }

  GatewayWorld world_;
};

// Guards against most of a fleet being down at once when its nodes are stopped
// one second apart: each node waited for the platform's limit although it had
// no open request after three seconds.
TEST_F(GatewayCoreTest, StoppingNodeEndsOnceNoRequestIsOpen) {
  GatewayCore& core = *world_.node(0).core;
  core.OnStopRequested(world_.now());
  ForwardRequest request;
  request.id = RequestId("q");
  request.host = "h";
  request.path = "/m/x";
  request.model = ModelId("large");
  const ForwardAdmission admission = core.OnArrived(world_.now(), request);
  ASSERT_TRUE(std::holds_alternative<SendForward>(admission.step));
  world_.Run(Duration::Millis(3300));
  EXPECT_FALSE(core.is_drain_complete(world_.now()));
  ForwardEnd end;
  end.kind = ForwardEndKind::kSucceeded;
  core.OnEnded(world_.now(), admission.id, end);
  EXPECT_TRUE(core.is_drain_complete(world_.now()));
}

TEST_F(GatewayCoreTest, StoppingNodeWaitsForCallersThatCacheItsAddress) {
  GatewayCore& core = *world_.node(0).core;
  core.OnStopRequested(world_.now());
  world_.Run(Duration::Millis(3000));
  EXPECT_FALSE(core.is_drain_complete(world_.now()));
  world_.Run(Duration::Millis(300));
  EXPECT_TRUE(core.is_drain_complete(world_.now()));
}

// Guards against a stream that is cut off when its node ends: 3.5 s after
// SIGTERM a caller that caches addresses for longer than asked sends a request
// whose stream takes 4 s, and the node accepts it although it has to end
// before.
TEST_F(GatewayCoreTest, StoppingNodeRefusesRequestsItCouldNotFinish) {
  world_.node(0).core->OnStopRequested(world_.now());
  EXPECT_FALSE(world_.node(0).core->ready());
  world_.Run(Duration::Millis(2500));
  EXPECT_TRUE(std::holds_alternative<SendForward>(SendRequest(0)));
  world_.Run(Duration::Millis(500));
  const ForwardStep late = SendRequest(0);
  ASSERT_TRUE(std::holds_alternative<ForwardRefused>(late));
  EXPECT_EQ(std::get<ForwardRefused>(late).kind, RefusalKind::kDraining);
  EXPECT_GT(std::get<ForwardRefused>(late).retry_after, Duration());
  EXPECT_FALSE(world_.node(0).core->is_drain_complete(world_.now()));
  world_.Run(Duration::Millis(4500));
  EXPECT_TRUE(world_.node(0).core->is_drain_complete(world_.now()));
}

// Guards against nodes that the platform kills because they wait for requests
// or for callers until the grace is over.
TEST_F(GatewayCoreTest, StoppingNodeEndsBeforeItsGraceIsOver) {
  const GatewayCore& core = *world_.node(0).core;
  const Duration grace = GatewaySettings().stop_grace_period;
  world_.node(0).core->OnStopRequested(world_.now());
  world_.Run(grace - GatewaySettings().stop_margin - Duration::Millis(100));
  EXPECT_FALSE(core.is_drain_over(world_.now()));
  world_.Run(Duration::Millis(150));
  EXPECT_TRUE(core.is_drain_over(world_.now()));
  EXPECT_FALSE(core.is_grace_over(world_.now()));
  world_.Run(Duration::Millis(350));
  EXPECT_TRUE(core.is_grace_over(world_.now()));
}

TEST_F(GatewayCoreTest, AdvertisesOnlyNodesThatAreNotStopping) {
  EXPECT_EQ(world_.node(0).core->AdvertisedAddresses().size(), 2U);
  world_.node(1).core->OnStopRequested(world_.now());
  world_.Run(Duration::Seconds(1));
  const std::vector<Address> entries =
      world_.node(0).core->AdvertisedAddresses();
  EXPECT_EQ(entries, std::vector<Address>{Address("c0")});
  // A stopping node does not advertise itself either.
  EXPECT_EQ(world_.node(1).core->AdvertisedAddresses(),
            std::vector<Address>{Address("c0")});
}

// Guards against nodes of a fleet of 70 that get no new callers: a list holds
// 64 addresses, and every node listed the first 64 by name.
TEST(GatewayAddressesTest, AdvertisesEachNodeOfALargeFleetEquallyOften) {
  GatewayWorld world(70, 1, 11, 3);
  world.Run(Duration::Seconds(5));
  std::map<Address, int> times_advertised;
  for (std::size_t i = 0; i < world.node_count(); ++i) {
    for (const Address& address : world.node(i).core->AdvertisedAddresses()) {
      ++times_advertised[address];
    }
  }
  EXPECT_EQ(times_advertised.size(), 70U);
  for (const auto& [address, times] : times_advertised) {
    EXPECT_EQ(times, 64) << address;
  }
}

// Guards against a node that starts during an outage of the service and learns
// nothing.
TEST_F(GatewayCoreTest, NodeStartedDuringOutageLearnsFromAnotherNode) {
  world_.KillNode(1);
  world_.store_down = true;
  world_.Run(Duration::Seconds(1));
  world_.StartNode(1);
  EXPECT_FALSE(world_.node(1).core->ready());
  world_.Run(Duration::Seconds(5));
  EXPECT_TRUE(world_.node(1).core->ready());
  EXPECT_TRUE(std::holds_alternative<SendForward>(SendRequest(1)));
}

// Guards against a controller that hands its role over again and again because
// an entry promises a node of larger weight that does not exist.
TEST_F(GatewayCoreTest, AnEntryWithoutANodeHardlyMovesTheRole) {
  NodeRecord record;
  record.id = NodeId("absent");
  record.weight = 1000000000000;
  world_.WriteNodeEntry(record);
  const RoleName role{std::string(kControllerRole)};
  int changes = 0;
  NodeId holder = world_.node(0).core->view().HolderOf(role);
  for (int i = 0; i < 600; ++i) {
    world_.Run(Duration::Millis(100));
    const NodeId now = world_.node(0).core->view().HolderOf(role);
    changes += now != holder && !now.empty() ? 1 : 0;
    holder = now;
  }
  EXPECT_LE(changes, 2);
}

// Guards against a node that the service rejects and that learns of no change
// meanwhile.
TEST_F(GatewayCoreTest, NodeCutFromServiceLearnsFromAnotherNode) {
  world_.node(0).store_cut = true;
  world_.Run(Duration::Seconds(3));
  world_.AddEngine("d0", "late");
  world_.Run(Duration::Seconds(3));
  EXPECT_NE(world_.node(0).core->view().FindVm(VmId("late")), nullptr);
}

}  // namespace
}  // namespace gcw
