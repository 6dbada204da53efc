#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <cstdint>
#include <functional>

#include "coordination/coordination.h"
#include "tests/support/retry_world.h"

namespace gcw {
namespace {

struct FleetSize {
  std::size_t nodes;
  std::int64_t requests_per_second;
};

constexpr FleetSize kSmallFleet = {7, 200};
constexpr FleetSize kMediumFleet = {60, 600};
// The slack's part of a node is less than one retry.
constexpr FleetSize kLargeFleet = {300, 900};
constexpr Duration kShortDown = Duration::Millis(300);

using Scenario = std::function<void(RetryWorld&)>;

// Runs the scenario while every request ends so, and checks the limit over all
// nodes.
void CheckLimit(const FleetSize& size,
                ForwardEndKind failure,
                const Scenario& run) {
  RetryWorld world(size.nodes, 7, size.requests_per_second);
  world.Fail(failure);
  run(world);
  EXPECT_EQ(world.FirstViolation(), "")
      << size.nodes << " nodes, requests end as "
      << ForwardEndKindName(failure);
}

void CheckLimit(const Scenario& run) {
  for (const FleetSize& size : {kSmallFleet, kMediumFleet}) {
    CheckLimit(size, ForwardEndKind::kNotRun, run);
    CheckLimit(size, ForwardEndKind::kEndpointFailed, run);
  }
}

void KillAllAgainAndAgain(RetryWorld& world) {
  world.RunLoaded(Duration::Seconds(1));
  for (int i = 0; i < 4; ++i) {
    world.KillNodes(1, kShortDown);
    world.RunLoaded(Duration::Millis(2200));
  }
  world.RunLoaded(Duration::Seconds(4));
}

void RestartByPlan(RetryWorld& world) {
  world.RunLoaded(Duration::Seconds(1));
  world.StopNodesInTurn(std::max<std::size_t>(1, world.node_count() / 7),
                        Duration::Millis(900));
  world.RunLoaded(Duration::Seconds(10));
}

void AddAsManyNodes(RetryWorld& world) {
  world.RunLoaded(Duration::Seconds(1));
  world.AddNodes(world.node_count());
  world.RunLoaded(Duration::Seconds(14));
}

// Guards against nodes that forget when they are killed what they have spent,
// and spend the whole part of the slack again after each start.
TEST(RetryFleetTest, NodesKilledAgainAndAgainKeepTheLimit) {
  CheckLimit(KillAllAgainAndAgain);
}

// Guards against the same where other nodes serve on.
TEST(RetryFleetTest, HalfOfTheNodesKilledAgainAndAgainKeepTheLimit) {
  CheckLimit([](RetryWorld& world) {
    world.RunLoaded(Duration::Seconds(1));
    for (int i = 0; i < 6; ++i) {
      world.KillNodes(0.5, kShortDown);
      world.RunLoaded(Duration::Millis(1200));
    }
    world.RunLoaded(Duration::Seconds(4));
  });
}

// Guards against nodes that spend what they saved up before they are killed,
// and at once as much again.
TEST(RetryFleetTest, AKillRightAfterTheFirstFailuresKeepsTheLimit) {
  CheckLimit([](RetryWorld& world) {
    world.RunLoaded(Duration::Millis(800));
    world.KillNodes(1, kShortDown);
    world.RunLoaded(Duration::Seconds(11));
  });
}

// Guards against a last node that takes the whole slack while those that leave
// still use their parts.
TEST(RetryFleetTest, ARollingRestartKeepsTheLimit) {
  CheckLimit(RestartByPlan);
}

// Guards against new nodes that use a part of the slack before the others have
// given it up.
TEST(RetryFleetTest, AddedNodesKeepTheLimit) {
  CheckLimit(AddAsManyNodes);
}

// Guards against nodes at new addresses that use the parts of those that are
// gone, while these are still in the view of others.
TEST(RetryFleetTest, ReplacedNodesKeepTheLimit) {
  CheckLimit([](RetryWorld& world) {
    for (int i = 0; i < 4; ++i) {
      world.RunLoaded(Duration::Millis(1500));
      world.ReplaceNodes(0.4);
    }
    world.RunLoaded(Duration::Seconds(10));
  });
}

// Guards against nodes that others have given up as lost, and that use their
// parts when they go on.
TEST(RetryFleetTest, NodesFrozenForLongerThanTheirLeasesKeepTheLimit) {
  CheckLimit([](RetryWorld& world) {
    world.FreezeNodes(0.6, Duration::Seconds(12));
    world.RunLoaded(Duration::Seconds(20));
  });
}

// Guards against nodes whose leases have lapsed, and that callers still reach.
TEST(RetryFleetTest, NodesCutFromTheStoreKeepTheLimit) {
  CheckLimit([](RetryWorld& world) {
    world.CutNodesFromStore(0.5, Duration::Seconds(30));
    world.RunLoaded(Duration::Seconds(34));
  });
}

// Guards against kills while no node learns who else is there.
TEST(RetryFleetTest, KillsWhileTheStoreIsAwayKeepTheLimit) {
  CheckLimit([](RetryWorld& world) {
    world.LoseStore(Duration::Seconds(8));
    world.RunLoaded(Duration::Seconds(1));
    for (int i = 0; i < 3; ++i) {
      world.KillNodes(0.5, kShortDown);
      world.RunLoaded(Duration::Millis(1800));
    }
    world.RunLoaded(Duration::Seconds(6));
  });
}

// Guards against sends that the budget does not count: a node that reaches no
// endpoint passes its requests on, and takes them back when they were rejected.
TEST(RetryFleetTest, RequestsPassedOnBetweenNodesKeepTheLimit) {
  CheckLimit([](RetryWorld& world) {
    for (std::size_t i = 0; i < world.node_count() / 2; ++i) {
      world.SetPaths(i, PathFault::kReset);
    }
    world.RunLoaded(Duration::Seconds(12));
    for (std::size_t i = 0; i < world.node_count() / 2; ++i) {
      world.SetPaths(i, PathFault::kNone);
    }
    world.RunLoaded(Duration::Seconds(6));
  });
}

// Guards against the same where the slack's part of a node is less than one
// retry.
TEST(RetryFleetTest, NodesOfALargeFleetKilledAgainAndAgainKeepTheLimit) {
  CheckLimit(kLargeFleet, ForwardEndKind::kNotRun, KillAllAgainAndAgain);
}

TEST(RetryFleetTest, ARollingRestartOfALargeFleetKeepsTheLimit) {
  CheckLimit(kLargeFleet, ForwardEndKind::kNotRun, RestartByPlan);
}

TEST(RetryFleetTest, NodesAddedToALargeFleetKeepTheLimit) {
  CheckLimit(kLargeFleet, ForwardEndKind::kNotRun, AddAsManyNodes);
}

// Guards against a limit that is kept because hardly a request is retried.
TEST(RetryFleetTest, AStableFleetUsesItsBudget) {
  for (const FleetSize& size : {kSmallFleet, kMediumFleet, kLargeFleet}) {
    RetryWorld world(size.nodes, 7, size.requests_per_second);
    world.Fail(ForwardEndKind::kEndpointFailed, 0.5);
    world.RunLoaded(Duration::Seconds(12));
    const RetryRule::Window window = world.rule().WorstWindow();
    EXPECT_EQ(world.FirstViolation(), "") << size.nodes << " nodes";
    EXPECT_GE(static_cast<double>(window.repeats), 0.6 * window.allowed)
        << size.nodes << " nodes";
  }
}

// Guards against a series of disturbances of the fleet that overlap.
RC_GTEST_PROP(RetryFleetProperty, AnySeriesOfDisturbancesKeepsTheLimit, ()) {
  const auto nodes = *rc::gen::inRange<std::size_t>(2, 10);
  RetryWorld world(nodes, *rc::gen::inRange<std::uint64_t>(1, 1000000), 60);
  world.Fail(*rc::gen::element(ForwardEndKind::kNotRun,
                               ForwardEndKind::kEndpointFailed),
             *rc::gen::element(1.0, 0.8, 0.5));
  const int steps = *rc::gen::inRange(3, 12);
  for (int i = 0; i < steps; ++i) {
    const double share = *rc::gen::element(0.2, 0.5, 1.0);
    switch (*rc::gen::inRange(0, 9)) {
      case 0:
      case 1:
      case 2:
        world.KillNodes(share, Duration::Millis(*rc::gen::inRange(100, 3000)));
        break;
      case 3:
        world.StopNodesInTurn(std::max<std::size_t>(1, world.node_count() / 4),
                              Duration::Millis(500));
        break;
      case 4:
        world.AddNodes(2);
        break;
      case 5:
        world.ReplaceNodes(0.2);
        break;
      case 6:
        world.FreezeNodes(share / 2,
                          Duration::Millis(*rc::gen::inRange(500, 14000)));
        break;
      case 7:
        world.CutNodesFromStore(
            share / 2, Duration::Millis(*rc::gen::inRange(500, 14000)));
        break;
      default:
        if (!world.store_down) {
          world.LoseStore(Duration::Millis(*rc::gen::inRange(500, 6000)));
        }
        break;
    }
    world.RunLoaded(Duration::Millis(*rc::gen::inRange(100, 4000)));
  }
  world.RunLoaded(Duration::Seconds(4));
  RC_ASSERT(world.FirstViolation() == "");
}

}  // namespace
}  // namespace gcw
