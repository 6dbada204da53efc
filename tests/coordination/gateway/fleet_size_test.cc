#include <gtest/gtest.h>

#include "coordination/coordination.h"
#include "tests/support/gateway_world.h"

namespace gcw {
namespace {

class KeeperPlacementTest : public testing::Test {
 protected:
  KeeperPlacementTest() : world_(4, 2, 11, 5) {
    EXPECT_TRUE(world_.RunUntil(Duration::Seconds(12), [this] {
      return world_.open_groups("large") == 2 &&
             world_.open_groups("small") == 2;
    }));
  }

  void RestartWithWeight(std::size_t node, std::int64_t weight) {
    world_.KillNode(node);
    world_.weights[node] = weight;
    world_.StartNode(node);
  }
  std::size_t OtherThan(std::size_t node) const {
    return (node + 1) % world_.node_count();
  }

  GatewayWorld world_;
};

// Guards against decisions that are late for lack of processor time while a
// larger node is idle.
TEST_F(KeeperPlacementTest, TheKeeperHandsItsRoleToALargerNode) {
  const std::size_t larger = OtherThan(world_.keeper().value());
  RestartWithWeight(larger, 50);
  EXPECT_TRUE(world_.RunUntil(Duration::Seconds(8),
                              [&] { return world_.keeper() == larger; }));
  world_.Run(Duration::Seconds(8));
  EXPECT_EQ(world_.keeper(), larger);
  EXPECT_EQ(world_.open_groups("large"), 2U);
  EXPECT_EQ(world_.open_groups("small"), 2U);
  EXPECT_TRUE(world_.violations().empty());
}

TEST_F(KeeperPlacementTest, AFreeRoleGoesToTheLargestNode) {
  const std::size_t keeper = world_.keeper().value();
  const std::size_t largest = OtherThan(keeper);
  RestartWithWeight(largest, 50);
  world_.Run(Duration::Millis(500));
  world_.KillNode(keeper);
  ASSERT_TRUE(world_.RunUntil(Duration::Seconds(8),
                              [&] { return world_.keeper().has_value(); }));
  EXPECT_EQ(world_.keeper(), largest);
}

// Guards against a fleet without a keeper because the node that would take over
// the role is about to stop.
TEST_F(KeeperPlacementTest, ARoleIsNotHandedToAStoppingNode) {
  const std::size_t keeper = world_.keeper().value();
  const std::size_t larger = OtherThan(keeper);
  RestartWithWeight(larger, 50);
  world_.Run(Duration::Seconds(1));
  world_.node(larger).core->OnStopAsked(world_.now());
  world_.Run(Duration::Seconds(6));
  EXPECT_NE(world_.keeper(), larger);
  EXPECT_TRUE(world_.keeper().has_value());
}

TEST(FleetViewDomainsTest, AVmIsListedInTheDomainThatItNamesLast) {
  FleetCodec codec;
  codec.vm_prefix = "vm/";
  codec.decode_registration = [](const VmId& vm, std::string_view text) {
    VmRegistration registration;
    registration.id = vm;
    registration.service = ServiceId("llm");
    registration.domain = FabricDomainId(std::string(text));
    return std::optional<VmRegistration>(registration);
  };
  FleetView view(codec, DiscardEvents());
  const Time now;
  const FabricDomainId first("llm.d1");
  const FabricDomainId second("llm.d2");
  view.OnPut(now, {"vm/a", "d1", Revision(1), LeaseId()});
  view.OnPut(now, {"vm/b", "d1", Revision(2), LeaseId()});
  EXPECT_EQ(view.VmsOf(first).size(), 2U);
  view.OnPut(now, {"vm/a", "d2", Revision(3), LeaseId()});
  EXPECT_EQ(view.VmsOf(first).size(), 1U);
  ASSERT_EQ(view.VmsOf(second).size(), 1U);
  EXPECT_EQ(view.VmsOf(second).begin()->second, view.FindVm(VmId("a")));
  view.OnDeleted(now, "vm/a");
  EXPECT_TRUE(view.VmsOf(second).empty());
}

}  // namespace
}  // namespace gcw
