#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <string>
#include <vector>

#include "coordination/coordination.h"
#include "tests/support/crash_world.h"

namespace gcw {
namespace {

constexpr std::size_t kFleetSizes[] = {3, 9, 60, 300};
// The longest time that a request may wait for its trial.
constexpr Duration kLongestWait = Duration::Millis(300);
// The same, with the time for which it may wait while another copy is tried
// out.
constexpr Duration kLongestWaitBesideTrial = Duration::Millis(1100);
constexpr Fingerprint kCrashing(1);
constexpr Fingerprint kOtherCrashing(2);

// Three endpoints crash under the request, and nobody tries it out, because
// callers do not come back.
void MakeSuspect(CrashWorld& world) {
  world.return_delay = Duration::Seconds(5);
  for (int i = 0; i < 5 && world.rule().crashes(kCrashing) < 3; ++i) {
    world.SendCrashing(kCrashing);
    world.Run(Duration::Millis(600));
  }
  ASSERT_EQ(world.rule().crashes(kCrashing), 3U)
      << world.node_count() << " nodes";
}

// Guards against a request that crashes endpoints and is sent to more of them
// each time it comes again.
TEST(CrashGuardTest, ACrashingRequestIsKnownAgainAtEveryNode) {
  for (const std::size_t nodes : kFleetSizes) {
    CrashWorld world(nodes);
    for (int i = 0; i < 8; ++i) {
      world.SendCrashing(kCrashing);
      world.Run(Duration::Millis(2500));
      world.SendCrashing(kOtherCrashing);
      world.Run(Duration::Millis(2500));
    }
    EXPECT_EQ(world.FirstViolation(), "") << nodes << " nodes";
    EXPECT_LE(world.rule().crashes(kCrashing), 4U) << nodes << " nodes";
    EXPECT_LE(world.rule().crashes(kOtherCrashing), 4U) << nodes << " nodes";
    EXPECT_EQ(world.healthy_blocked(), 0) << nodes << " nodes";
  }
}

// Guards against callers that come back before the nodes have told each other
// of the last crash.
TEST(CrashGuardTest, ACallerThatReturnsAtOnceTakesDownOneEndpointMore) {
  for (const std::size_t nodes : kFleetSizes) {
    CrashWorld world(nodes);
    world.return_delay = Duration::Millis(10);
    for (int i = 0; i < 6; ++i) {
      world.SendCrashing(kCrashing);
      world.Run(Duration::Seconds(4));
    }
    EXPECT_EQ(world.FirstViolation(), "") << nodes << " nodes";
    EXPECT_LE(world.rule().crashes(kCrashing), 5U) << nodes << " nodes";
  }
}

// Guards against copies of a crashing request that arrive at the same moment at
// different nodes and are each taken for the first one.
TEST(CrashGuardTest, CopiesAtOnceAreKnownAgainAtEveryNode) {
  for (const std::size_t nodes : kFleetSizes) {
    CrashWorld world(nodes);
    for (int i = 0; i < 5; ++i) {
      world.SendCrashing(kCrashing, 4);
      world.Run(Duration::Seconds(6));
    }
    EXPECT_EQ(world.FirstViolation(), "") << nodes << " nodes";
    EXPECT_EQ(world.healthy_blocked(), 0) << nodes << " nodes";
  }
}

// Guards against a crashing request that is forgotten between two arrivals.
TEST(CrashGuardTest, ARequestThatComesRarelyIsKnownAgain) {
  CrashWorld world(9);
  for (int i = 0; i < 5; ++i) {
    world.SendCrashing(kCrashing);
    world.Run(Duration::Seconds(70));
  }
  EXPECT_EQ(world.FirstViolation(), "");
  EXPECT_LE(world.rule().crashes(kCrashing), 4U);
}

// Guards against what is known of a crashing request being lost with the nodes
// that saw the crashes.
TEST(CrashGuardTest, ALossOfAllNodesForgetsNoCrashingRequest) {
  for (const std::size_t nodes : {3UL, 9UL, 60UL}) {
    CrashWorld world(nodes);
    for (int i = 0; i < 4; ++i) {
      world.SendCrashing(kCrashing);
      world.Run(Duration::Seconds(4));
      world.RestartAllNodes();
      world.Run(Duration::Seconds(6));
    }
    EXPECT_EQ(world.FirstViolation(), "") << nodes << " nodes";
    EXPECT_LE(world.rule().crashes(kCrashing), 4U) << nodes << " nodes";
  }
}

// Guards against nodes that know nothing of a crashing request because no
// notice of other nodes reaches them.
TEST(CrashGuardTest, TheRecordTellsNodesThatMissAllNotices) {
  for (const std::size_t nodes : {3UL, 9UL, 60UL}) {
    CrashWorld world(nodes);
    world.lose_crash_notices = true;
    for (int i = 0; i < 6; ++i) {
      world.SendCrashing(kCrashing);
      world.Run(Duration::Seconds(5));
    }
    EXPECT_EQ(world.FirstViolation(), "") << nodes << " nodes";
  }
}

// Guards against a crashing request that runs freely while the key-value
// service is away, or is forgotten over its outage.
TEST(CrashGuardTest, AnOutageOfTheStoreForgetsNoCrashingRequest) {
  for (const std::size_t nodes : {3UL, 9UL, 60UL}) {
    CrashWorld world(nodes);
    world.store_down = true;
    for (int i = 0; i < 3; ++i) {
      world.SendCrashing(kCrashing);
      world.Run(Duration::Seconds(4));
    }
    EXPECT_LE(world.rule().crashes(kCrashing), 3U) << nodes << " nodes";
    world.store_down = false;
    world.DisturbAll();
    world.Run(Duration::Seconds(5));
    for (int i = 0; i < 4; ++i) {
      world.SendCrashing(kCrashing);
      world.Run(Duration::Seconds(4));
    }
    EXPECT_EQ(world.FirstViolation(), "") << nodes << " nodes";
    EXPECT_LE(world.rule().crashes(kCrashing), 4U) << nodes << " nodes";
  }
}

// Guards against healthy requests that are refused because they ran beside
// crashing ones, more than once and while few groups are left.
TEST(CrashGuardTest, ManyHealthyRequestsBesideCrashingOnesAreNotRefused) {
  for (const std::uint64_t seed : {1, 2, 3, 4, 5, 6}) {
    CrashWorld world(9, seed);
    world.request_interval = Duration::Millis(30);
    for (std::int64_t i = 0; i < 6; ++i) {
      world.SendCrashing(Fingerprint(10 + i));
      world.SendCrashing(Fingerprint(20 + i));
      world.Run(Duration::Millis(700));
      world.SendCrashing(Fingerprint(10 + i));
      world.Run(Duration::Millis(700));
    }
    world.Run(Duration::Seconds(2));
    EXPECT_EQ(world.healthy_blocked(), 0) << "seed " << seed;
    EXPECT_GT(world.healthy_served(), 500) << "seed " << seed;
    EXPECT_LE(world.longest_wait(), kLongestWait) << "seed " << seed;
  }
}

// Guards against a popular request that is refused because it was at several
// endpoints that were lost at once.
TEST(CrashGuardTest, APopularRequestOutlivesLossesOfManyEndpoints) {
  constexpr Fingerprint kPopular(7);
  for (const bool has_power : {true, false}) {
    for (const std::size_t nodes : {3UL, 9UL, 60UL}) {
      CrashWorld world(nodes);
      for (int i = 0; i < 120; ++i) {
        for (int copy = 0; copy < 2; ++copy) {
          world.SendFromCaller(kPopular, false);
        }
        if (i % 30 == 10) {
          // A fabric domain goes dark, or its processes end.
          world.LoseDomain("d" + std::to_string(i / 30), has_power);
        }
        world.Run(Duration::Millis(50));
      }
      EXPECT_EQ(world.healthy_blocked(), 0) << nodes << " nodes";
      EXPECT_LE(world.longest_wait(), kLongestWait) << nodes << " nodes";
    }
  }
}

// Guards against a healthy request that is refused for seconds because the
// endpoints that its trial was sent to were gone.
TEST(CrashGuardTest, ATrialThatReachesNoEndpointIsGivenBack) {
  for (const std::size_t nodes : kFleetSizes) {
    CrashWorld world(nodes);
    MakeSuspect(world);
    world.engines_listen = false;
    world.SendFromCaller(kCrashing, false);
    world.Run(Duration::Millis(200));
    world.engines_listen = true;
    world.Run(Duration::Seconds(3));
    world.SendFromCaller(kCrashing, false);
    world.Run(Duration::Seconds(2));
    EXPECT_EQ(world.healthy_blocked(), 0) << nodes << " nodes";
    EXPECT_LE(world.longest_wait(), kLongestWait) << nodes << " nodes";
  }
}

// Guards against copies of a healthy request that are refused while one of them
// is tried out.
TEST(CrashGuardTest, CopiesOfAHealthyRequestWaitForItsTrial) {
  for (const std::size_t nodes : kFleetSizes) {
    CrashWorld world(nodes);
    MakeSuspect(world);
    const int served = world.healthy_served();
    constexpr int kCopies = 20;
    for (int i = 0; i < kCopies; ++i) {
      world.SendFromCaller(kCrashing, false);
      world.Run(Duration::Millis(20));
    }
    world.traffic = false;
    world.Run(Duration::Seconds(3));
    EXPECT_EQ(world.healthy_blocked(), 0) << nodes << " nodes";
    EXPECT_GE(world.healthy_served() - served, kCopies) << nodes << " nodes";
    EXPECT_LE(world.longest_wait(), kLongestWaitBesideTrial)
        << nodes << " nodes";
  }
}

// Guards against a refusal that its node's log does not explain, because other
// nodes noticed the crashes.
TEST(CrashGuardTest, EachNodeThatRestrictsARequestTellsTheEvidence) {
  std::vector<EventDraft> told;
  CrashGuard guard(
      {}, [](const EndpointRun&) { return true; },
      [](const VmId&) { return std::size_t{1}; },
      {[](const CrashRecord&) { return std::string(); }, {}}, SeededRandom(1),
      [&told](EventDraft event) {
        told.push_back(std::move(event));
        return EventId("e1");
      });
  CrashNotice notice;
  notice.fingerprint = kCrashing;
  for (const char* vm : {"a", "b", "c"}) {
    notice.crashes[{VmId(vm), Incarnation(1)}] = {CrashState::kConfirmed, {}};
  }
  const Time now = Time::FromMillis(1000000);
  guard.OnNotices(now, {notice});
  ASSERT_EQ(guard.Judge(now, kCrashing), CrashVerdict::kNeedsTrial);
  for (const std::int64_t id : {1, 2}) {
    EXPECT_TRUE(guard.Wait(now, ForwardId(id), WholeRequest(kCrashing)));
  }
  ASSERT_EQ(told.size(), 1U);
  EXPECT_EQ(told.front().kind, EventKind::kFingerprintSuspected);
  EXPECT_EQ(told.front().subject, std::to_string(kCrashing.value()));
  EXPECT_EQ(guard.CauseOfRefusal(kCrashing), EventId("e1"));
}

// Guards against endpoints that are cut off from nodes, or whose connections
// are only reset, being taken for crashed ones.
TEST(CrashGuardTest, ResetConnectionsAndCutEndpointsAccuseNoRequest) {
  CrashWorld world(9);
  for (int i = 0; i < 20; ++i) {
    const VmId head = world.OpenHead("small");
    if (i % 5 == 4) {
      world.Partition(head, true);
      world.Run(Duration::Millis(500));
      world.Heal(head);
    } else {
      world.ResetConnections(head);
    }
    world.Run(Duration::Millis(300));
  }
  for (std::size_t i = 0; i < world.node_count(); ++i) {
    EXPECT_EQ(world.node(i).core->suspected_requests(world.now()), 0U);
  }
  EXPECT_EQ(world.healthy_blocked(), 0);
}

// Guards against requests that are suspected because a planned end cut them
// off.
TEST(CrashGuardTest, AnAnnouncedEndAccusesNoRequest) {
  for (const bool in_registration : {true, false}) {
    CrashWorld world(3);
    const VmId head = world.OpenHead("small");
    if (in_registration) {
      world.Drain(head);
    } else {
      world.engine(head).says_leaving = true;
    }
    world.Run(Duration::Millis(600));
    world.Crash(head);
    world.Run(Duration::Seconds(1));
    for (std::size_t i = 0; i < world.node_count(); ++i) {
      EXPECT_EQ(world.node(i).core->suspected_requests(world.now()), 0U);
    }
  }
}

// Guards against an endpoint that is reset often and checked for each request.
TEST(CrashGuardTest, AnEndpointIsCheckedAtMostTwiceASecondByEachNode) {
  CrashWorld world(3);
  world.request_interval = Duration::Millis(20);
  const VmId head = world.OpenHead("small");
  const int before = world.endpoint_checks;
  for (int i = 0; i < 50; ++i) {
    world.ResetConnections(head);
    world.Run(Duration::Millis(40));
  }
  EXPECT_LE(world.endpoint_checks - before, 3 * 5);
}

TEST(CrashGuardTest, NoNodeTellsMoreOthersInALargerFleet) {
  for (const std::size_t nodes : kFleetSizes) {
    CrashWorld world(nodes);
    const int before = world.crash_notices;
    world.SendCrashing(kCrashing);
    world.Run(Duration::Seconds(2));
    // Four others, once in 40 ms, and once more for each of four crashes.
    constexpr int kMessages = 4 * (2000 / 40 + 4);
    EXPECT_LE(world.crash_notices - before, kMessages * static_cast<int>(nodes))
        << nodes << " nodes";
  }
}

// Guards against a block that outlives the operators' decision at some node.
TEST(CrashGuardTest, OperatorsLiftABlockAtAllNodes) {
  for (const std::size_t nodes : {3UL, 60UL}) {
    CrashWorld world(nodes);
    for (int i = 0; i < 4; ++i) {
      world.SendCrashing(kCrashing);
      world.Run(Duration::Seconds(4));
    }
    const std::vector<CrashBlock> blocks = world.BlocksAt(0);
    ASSERT_EQ(blocks.size(), 1U);
    EXPECT_GT(blocks.front().remaining, Duration::Seconds(500));
    EXPECT_EQ(blocks.front().record.failed_trials, 1);
    ASSERT_TRUE(world.LiftAt(0, blocks.front().fingerprint));
    world.Run(Duration::Seconds(3));
    for (std::size_t i = 0; i < nodes; ++i) {
      EXPECT_TRUE(world.BlocksAt(i).empty());
    }
    // The request runs again, and what is wrong with it is found out anew.
    const std::size_t before = world.rule().crashes(kCrashing);
    world.SendCrashing(kCrashing);
    world.Run(Duration::Seconds(4));
    EXPECT_GT(world.rule().crashes(kCrashing), before);
  }
}

// Guards against evidence that is lost because no node that has it is alive
// once the key-value service is back. Found by the property below.
TEST(CrashGuardSeedTest, ALossOfAllNodesInAnOutageForgetsNoCrashingRequest) {
  CrashWorld world(2, 0);
  world.store_down = true;
  world.DisturbAll();
  world.Run(Duration::Seconds(1));
  world.SendCrashing(kCrashing);
  world.Run(Duration::Seconds(1));
  world.RestartAllNodes();
  world.Run(Duration::Seconds(1));
  world.store_down = false;
  world.DisturbAll();
  world.Run(Duration::Seconds(8));
  world.SendCrashing(kCrashing, 2);
  world.Run(Duration::Seconds(1));
  EXPECT_EQ(world.FirstViolation(), "");
}

// The same, with a second loss of all nodes right after the outage, before the
// records are written.
TEST(CrashGuardSeedTest, ALossOfAllNodesRightAfterAnOutageForgetsNoRequest) {
  CrashWorld world(6, 0);
  world.SendCrashing(kOtherCrashing);
  world.Run(Duration::Seconds(5));
  world.store_down = true;
  world.DisturbAll();
  world.Run(Duration::Seconds(4));
  world.SendCrashing(kCrashing);
  world.Run(Duration::Seconds(1));
  world.RestartAllNodes();
  world.Run(Duration::Seconds(1));
  world.SendCrashing(kCrashing, 2);
  world.Run(Duration::Seconds(1));
  world.store_down = false;
  world.DisturbAll();
  world.Run(Duration::Seconds(1));
  world.RestartAllNodes();
  world.Run(Duration::Seconds(4));
  world.SendCrashing(kCrashing, 2);
  world.Run(Duration::Seconds(1));
  EXPECT_EQ(world.FirstViolation(), "");
}

// Guards against evidence that only a node has that the key-value service turns
// away, and that no node hears of which starts later. Found by the property
// below.
TEST(CrashGuardSeedTest, ANodeThatStartsInAnOutageHearsOfCrashingRequests) {
  CrashWorld world(2, 94);
  const auto disturb = [&world](std::size_t node) {
    world.Disturb(node);
    world.Run(Duration::Seconds(1));
  };
  world.store_down = true;
  world.DisturbAll();
  world.Run(Duration::Seconds(1));
  world.SendCrashing(kCrashing);
  world.Run(Duration::Seconds(1));
  world.KillNode(0);
  disturb(0);
  world.node(1).store_rejects = true;
  disturb(1);
  world.store_down = false;
  world.DisturbAll();
  world.Run(Duration::Seconds(1));
  world.StartNode(0);
  disturb(0);
  world.Run(Duration::Seconds(1));
  world.KillNode(1);
  disturb(1);
  world.SendCrashing(kCrashing, 2);
  world.Run(Duration::Seconds(1));
  EXPECT_EQ(world.FirstViolation(), "");
}

// All nodes that know of the crashes are lost in an outage, and the request
// comes again once the fleet is in touch. Returns the rule that was broken.
std::string ReturnAfterALoss(std::size_t nodes, std::uint64_t seed) {
  CrashWorld world(nodes, seed);
  world.store_down = true;
  world.DisturbAll();
  world.Run(Duration::Millis(500));
  for (int i = 0; i < 4 && world.rule().crashes(kCrashing) < 3; ++i) {
    world.SendCrashing(kCrashing);
    world.Run(Duration::Millis(500));
  }
  world.RestartAllNodes();
  world.Run(Duration::Seconds(4));
  world.store_down = false;
  world.DisturbAll();
  world.Run(Duration::Seconds(8));
  for (int round = 0; round < 3; ++round) {
    world.SendCrashing(kCrashing, 4);
    world.Run(Duration::Seconds(4));
  }
  EXPECT_GE(world.rule().crashes(kCrashing), 3U);
  EXPECT_EQ(world.healthy_blocked(), 0) << nodes << " nodes, seed " << seed;
  return world.FirstViolation();
}

// Guards against copies of a crashing request that arrive at different nodes at
// once and are each taken for its first run, after a loss of all nodes.
TEST(CrashGuardTest, CopiesAfterALossOfAllNodesReachFewEndpoints) {
  for (const std::uint64_t seed : {1, 2, 3, 4, 5, 6, 7, 8}) {
    EXPECT_EQ(ReturnAfterALoss(7, seed), "") << "seed " << seed;
  }
  for (const std::uint64_t seed : {1, 2}) {
    EXPECT_EQ(ReturnAfterALoss(84, seed), "") << "84 nodes, seed " << seed;
  }
}

// Guards against sound requests that are refused because their trial stays
// open: it had streamed for long enough when another request crashed its
// endpoint.
TEST(CrashGuardTest, SoundRequestsBesideCopiesAfterALossAreServed) {
  for (const std::uint64_t seed : {118, 139}) {
    EXPECT_EQ(ReturnAfterALoss(7, seed), "") << "seed " << seed;
  }
}

// Guards against copies of a sound request that are refused, or wait for long,
// because nodes that may lack evidence let one of them run at a time.
TEST(CrashGuardTest, SoundCopiesAfterALossOfAllNodesAreServed) {
  for (const std::size_t nodes : {3UL, 9UL, 60UL}) {
    CrashWorld world(nodes);
    world.store_down = true;
    world.Run(Duration::Seconds(1));
    world.RestartAllNodes();
    world.Run(Duration::Seconds(2));
    world.store_down = false;
    world.DisturbAll();
    world.Run(Duration::Seconds(8));
    world.traffic = false;
    world.Run(Duration::Seconds(3));
    const int served = world.healthy_served();
    constexpr int kRequests = 10;
    constexpr int kCopies = 4;
    for (int i = 0; i < kRequests; ++i) {
      for (int copy = 0; copy < kCopies; ++copy) {
        world.SendFromCaller(Fingerprint(100 + i), false);
      }
      world.Run(Duration::Millis(500));
    }
    world.Run(Duration::Seconds(4));
    EXPECT_EQ(world.healthy_blocked(), 0) << nodes << " nodes";
    EXPECT_EQ(world.healthy_served() - served, kRequests * kCopies)
        << nodes << " nodes";
    EXPECT_LE(world.longest_wait(), kLongestWaitBesideTrial)
        << nodes << " nodes";
    EXPECT_GT(world.run_lock_claims, 0) << nodes << " nodes";
  }
}

// Guards against healthy requests that are refused beside a crash because nodes
// that may lack evidence ask for a trial after the first crash.
TEST(CrashGuardTest, ALossOfAllNodesInAnOutageRefusesNoHealthyRequest) {
  for (const std::size_t nodes : {3UL, 9UL}) {
    CrashWorld world(nodes);
    world.store_down = true;
    world.Run(Duration::Seconds(1));
    world.RestartAllNodes();
    world.Run(Duration::Seconds(2));
    world.store_down = false;
    world.DisturbAll();
    world.Run(Duration::Seconds(8));
    const int served = world.healthy_served();
    for (int i = 0; i < 8; ++i) {
      world.SendCrashing(Fingerprint(10 + i));
      world.Run(Duration::Seconds(1));
    }
    EXPECT_EQ(world.healthy_blocked(), 0) << nodes << " nodes";
    EXPECT_GT(world.healthy_served() - served, 500) << nodes << " nodes";
    EXPECT_EQ(world.FirstViolation(), "") << nodes << " nodes";
  }
}

// Any series of crashing requests, lost nodes, freezes and outages.
RC_GTEST_PROP(CrashGuardProperty, KnownRequestsReachFewEndpoints, ()) {
  const auto nodes = *rc::gen::inRange<std::size_t>(2, 12);
  CrashWorld world(nodes, *rc::gen::inRange<std::uint64_t>(0, 1000000));
  const int steps = *rc::gen::inRange(4, 14);
  for (int i = 0; i < steps; ++i) {
    const auto node = *rc::gen::inRange<std::size_t>(0, nodes);
    switch (*rc::gen::inRange(0, 9)) {
      case 0:
        world.store_down = !world.store_down;
        world.DisturbAll();
        break;
      case 1:
        world.node(node).store_rejects = !world.node(node).store_rejects;
        world.Disturb(node);
        break;
      case 2:
        if (world.node(node).alive) {
          world.KillNode(node);
        } else {
          world.StartNode(node);
        }
        world.Disturb(node);
        break;
      case 3:
        world.SetFrozen(node, !world.node(node).frozen);
        world.Disturb(node);
        break;
      case 4:
        world.RestartAllNodes();
        break;
      default:
        world.SendCrashing(Fingerprint(*rc::gen::inRange(1, 3)),
                           *rc::gen::inRange(1, 4));
    }
    world.Run(Duration::Seconds(*rc::gen::inRange(1, 7)));
  }
  RC_ASSERT(world.FirstViolation() == std::string());
  RC_ASSERT(world.healthy_blocked() == 0);
}

}  // namespace
}  // namespace gcw
