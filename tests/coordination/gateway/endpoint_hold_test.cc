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

}  // namespace
}  // namespace gcw
