#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "coordination/coordination.h"
#include "tests/support/gateway_world.h"

namespace gcw {
namespace {

class HoldWorld : public GatewayWorld {
 public:
  explicit HoldWorld(std::size_t nodes) : GatewayWorld(nodes, 2, 11, 7) {
    EXPECT_TRUE(RunUntil(Duration::Seconds(14), [this] {
      return open_groups("large") == 2 && open_groups("small") == 2;
    }));
    traffic = true;
    Run(Duration::Seconds(1));
  }

  std::string FirstViolation() const {
    const std::vector<std::string>& violations = hold_rule().violations();
    return violations.empty() ? "" : violations.front();
  }

  int ArrivalsWithin(const VmId& vm, Duration time) {
    const int before = Arrivals(vm);
    Run(time);
    return Arrivals(vm) - before;
  }
};

// Guards against nodes that go on sending requests to an endpoint that refused
// one and asked for a pause.
TEST(EndpointHoldTest, AnEndpointGetsNoRequestsDuringItsCooldown) {
  for (const std::size_t nodes : {3UL, 9UL, 60UL}) {
    HoldWorld world(nodes);
    world.engine(world.OpenHead("small")).cooldown = Duration::Seconds(3);
    world.engine(world.OpenHead("large")).cooldown = Duration::Millis(1500);
    world.Run(Duration::Seconds(12));
    EXPECT_EQ(world.FirstViolation(), "") << nodes << " nodes";
  }
}

// Guards against requests to an endpoint that said in an answer that it is
// about to stop, while its registration does not show it.
TEST(EndpointHoldTest, AnEndpointThatSaysItLeavesGetsNoMoreRequests) {
  for (const std::size_t nodes : {3UL, 9UL, 60UL}) {
    HoldWorld world(nodes);
    world.engine(world.OpenHead("small")).says_leaving = true;
    world.Run(Duration::Seconds(8));
    EXPECT_EQ(world.FirstViolation(), "") << nodes << " nodes";
  }
}

TEST(EndpointHoldTest, AnEndpointIsUsedAgainAfterItsCooldown) {
  HoldWorld world(3);
  const VmId head = world.OpenHead("small");
  world.engine(head).cooldown = Duration::Seconds(2);
  world.Run(Duration::Seconds(3));
  world.engine(head).cooldown.reset();
  world.Run(Duration::Seconds(4));
  EXPECT_GT(world.ArrivalsWithin(head, Duration::Seconds(1)), 5);
}

// Guards against a hold of an endpoint's earlier run that is kept up against
// the next one.
TEST(EndpointHoldTest, AHoldEndsWithTheRunOfTheEndpoint) {
  EndpointHolds holds(DiscardEvents());
  const Time now = Time::FromMillis(1000000);
  EndpointReport report;
  report.is_leaving = true;
  report.cooldown = Duration::Seconds(60);
  const VmId vm("a");
  holds.OnReport(now, {vm, Incarnation(1), ZoneId("z")}, report);
  EXPECT_FALSE(holds.MaySend(now, vm, Incarnation(1)));
  EXPECT_TRUE(holds.MaySend(now, vm, Incarnation(2)));
  // A late answer of the earlier run changes nothing for the next one.
  report.is_leaving = false;
  holds.OnReport(now, {vm, Incarnation(2), ZoneId("z")}, report);
  report.cooldown = Duration::Seconds(600);
  holds.OnReport(now, {vm, Incarnation(1), ZoneId("z")}, report);
  EXPECT_EQ(holds.NextSend(now, vm, Incarnation(2)),
            now + Duration::Seconds(60));
}

TEST(EndpointHoldTest, AShorterCooldownDoesNotCutALongerOne) {
  EndpointHolds holds(DiscardEvents());
  const Time now = Time::FromMillis(1000000);
  const EndpointRun endpoint{VmId("a"), Incarnation(1), ZoneId("z")};
  EndpointReport report;
  report.cooldown = Duration::Seconds(5);
  holds.OnReport(now, endpoint, report);
  report.cooldown = Duration::Seconds(1);
  holds.OnReport(now, endpoint, report);
  EXPECT_EQ(holds.NextSend(now, endpoint.vm, endpoint.incarnation),
            now + Duration::Seconds(5));
}

// Guards against callers that wait for endpoints that want no requests.
TEST(EndpointHoldTest, CallersAreRefusedAtOnceDuringAllCooldowns) {
  HoldWorld world(3);
  for (auto& [id, engine] : world.engines()) {
    engine.cooldown = Duration::Seconds(10);
  }
  world.Run(Duration::Seconds(2));
  world.refusals.clear();
  world.Run(Duration::Seconds(1));
  ASSERT_GT(world.refusals.size(), 20U);
  for (const ForwardRefused& refused : world.refusals) {
    EXPECT_EQ(refused.kind, RefusalKind::kEndpointCooldown);
    EXPECT_GT(refused.retry_after, Duration::Seconds(1));
    EXPECT_LT(refused.retry_after, Duration::Seconds(5));
  }
  EXPECT_EQ(world.FirstViolation(), "");
}

}  // namespace
}  // namespace gcw
