#include <gtest/gtest.h>

#include "coordination/coordination.h"
#include "tests/support/gateway_world.h"

namespace gcw {
namespace {

class ControllerPlacementTest : public testing::Test {
 protected:
  ControllerPlacementTest() : world_(4, 2, 11, 5) {
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
TEST_F(ControllerPlacementTest, TheControllerHandsItsRoleToALargerNode) {
  const std::size_t larger = OtherThan(world_.controller().value());
  RestartWithWeight(larger, 50);
  EXPECT_TRUE(world_.RunUntil(Duration::Seconds(8),
                              [&] { return world_.controller() == larger; }));
  world_.Run(Duration::Seconds(8));
  EXPECT_EQ(world_.controller(), larger);
  EXPECT_EQ(world_.open_groups("large"), 2U);
  EXPECT_EQ(world_.open_groups("small"), 2U);
  EXPECT_TRUE(world_.violations().empty());
}

TEST_F(ControllerPlacementTest, AFreeRoleGoesToTheLargestNode) {
  const std::size_t controller = world_.controller().value();
  const std::size_t largest = OtherThan(controller);
  RestartWithWeight(largest, 50);
  world_.Run(Duration::Millis(500));
  world_.KillNode(controller);
  ASSERT_TRUE(world_.RunUntil(Duration::Seconds(8),
                              [&] { return world_.controller().has_value(); }));
  EXPECT_EQ(world_.controller(), largest);
}

// Guards against a fleet without a controller because the node that would take
// over the role is about to stop.
TEST_F(ControllerPlacementTest, ARoleIsNotHandedToAStoppingNode) {
  const std::size_t controller = world_.controller().value();
  const std::size_t larger = OtherThan(controller);
  RestartWithWeight(larger, 50);
  world_.Run(Duration::Seconds(1));
  world_.node(larger).core->OnStopRequested(world_.now());
  world_.Run(Duration::Seconds(6));
  EXPECT_NE(world_.controller(), larger);
  EXPECT_TRUE(world_.controller().has_value());
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
  EXPECT_EQ(view.VmsInDomain(first).size(), 2U);
  view.OnPut(now, {"vm/a", "d2", Revision(3), LeaseId()});
  EXPECT_EQ(view.VmsInDomain(first).size(), 1U);
  ASSERT_EQ(view.VmsInDomain(second).size(), 1U);
  EXPECT_EQ(view.VmsInDomain(second).begin()->second, view.FindVm(VmId("a")));
  view.OnDeleted(now, "vm/a");
  EXPECT_TRUE(view.VmsInDomain(second).empty());
}

}  // namespace
}  // namespace gcw
