#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "tests/coordination/limits/limits_fleet.h"

namespace gcw {
namespace {

constexpr std::size_t kNodes = 8;
constexpr Duration kLongLease = Duration::Seconds(3600);
constexpr double kRoundingTolerance = 1e-6;

Contract TeamContract() {
  return TestContract("team", 80, 8000, 16);
}

class LimitsTest : public testing::Test {
 protected:
  LimitsTest() { fleet_.AssignRole(0, kLongLease); }

  // Runs with callers at all nodes and returns the largest sum of shares.
  double RunAndMeasureMaxSum(Duration span) {
    double max_sum = 0;
    for (const Time end = fleet_.now() + span; fleet_.now() < end;) {
      fleet_.RunWithCallers(Duration::Millis(10), all_nodes_);
      max_sum = std::max(max_sum, fleet_.MaxSum());
    }
    return max_sum;
  }
  double RequestsAt(std::size_t i) const {
    return fleet_.ShareOf(i)[LimitResource::kRequests];
  }
  void Isolate(std::size_t i) {
    const NodeId isolated = fleet_.node(i).id;
    fleet_.network().SetConnected(
        [isolated](const NodeId& from, const NodeId& to) {
          return from != isolated && to != isolated;
        });
  }

  const std::vector<std::size_t> all_nodes_{0, 1, 2, 3, 4, 5, 6, 7};
  LimitSettings settings_;
  LimitsFleet fleet_{kNodes, settings_, TeamContract(), 11};
};

TEST_F(LimitsTest, SharesFollowDemand) {
  fleet_.RunWithCallers(Duration::Seconds(3), {2});
  EXPECT_GT(RequestsAt(2), 0.99 * 80);
  fleet_.RunWithCallers(Duration::Seconds(3), {2, 5});
  EXPECT_NEAR(RequestsAt(2), 40, 2);
  EXPECT_NEAR(RequestsAt(5), 40, 2);
}

TEST_F(LimitsTest, NodeWithoutShareGetsShareSoon) {
  const auto attempt = [&](std::size_t i) {
    const Time now = fleet_.LocalTime(fleet_.node(i));
    return fleet_.node(i)
        .limits.TryAcquire(now, ContractId("team"), TokenCount(10))
        .outcome;
  };
  fleet_.Run(Duration::Seconds(4));
  EXPECT_EQ(attempt(6), ShareOutcome::kPending);
  fleet_.Run(Duration::Millis(150));
  EXPECT_EQ(attempt(6), ShareOutcome::kGranted);
  // If another node uses the whole limit, a share takes longer: that node must
  // report twice, and the small share must accumulate one request.
  fleet_.RunWithCallers(Duration::Seconds(3), {2});
  EXPECT_EQ(attempt(3), ShareOutcome::kPending);
  fleet_.RunWithCallers(Duration::Seconds(3), {2});
  EXPECT_EQ(attempt(3), ShareOutcome::kGranted);
}

TEST_F(LimitsTest, ActualTokensAreChargedOnRelease) {
  fleet_.RunWithCallers(Duration::Seconds(3), {2});
  fleet_.Run(Duration::Seconds(2));
  Limits& limits = fleet_.node(2).limits;
  const Time now = fleet_.LocalTime(fleet_.node(2));
  const ContractId team("team");
  ASSERT_EQ(limits.TryAcquire(now, team, TokenCount(100)).outcome,
            ShareOutcome::kGranted);
  // The request used the tokens of ten seconds, so the next one has to wait.
  limits.Release(team, TokenCount(100), TokenCount(80000));
  const ShareDecision decision = limits.TryAcquire(now, team, TokenCount(100));
  EXPECT_EQ(decision.outcome, ShareOutcome::kTokenRate);
  EXPECT_GT(decision.wait, Duration::Seconds(8));
}

TEST_F(LimitsTest, LoweredContractAppliesOnceKnown) {
  fleet_.RunWithCallers(Duration::Seconds(3), {2});
  fleet_.ChangeContract(2, TestContract("team", 8, 800, 2));
  EXPECT_LE(RequestsAt(2), 8 + kRoundingTolerance);
  EXPECT_LE(fleet_.ShareOf(2)[LimitResource::kConcurrency],
            2 + kRoundingTolerance);
}

TEST_F(LimitsTest, WithdrawnContractIsUnknownAtOnce) {
  fleet_.RunWithCallers(Duration::Seconds(3), {2});
  Limits& limits = fleet_.node(2).limits;
  limits.OnContractWithdrawn(ContractId("team"));
  EXPECT_EQ(limits
                .TryAcquire(fleet_.LocalTime(fleet_.node(2)),
                            ContractId("team"), TokenCount(10))
                .outcome,
            ShareOutcome::kUnknownContract);
}

// Guards against nodes that serve nothing, or together more than the limit,
// after the owner died and the store is down, so that nobody takes the role:
// they wait for an owner forever, or use their floor while grants that rely on
// its cession are still in force.
TEST_F(LimitsTest, NodesUseTheirFloorsAfterOwnerLoss) {
  RunAndMeasureMaxSum(Duration::Seconds(3));
  fleet_.node(0).is_up = false;
  // Grants end after 4 periods, and the floor's cession after at most 9.
  const double max_sum = RunAndMeasureMaxSum(settings_.min_period * 9);
  EXPECT_LE(max_sum, 1 + kRoundingTolerance);
  for (std::size_t i = 1; i < kNodes; ++i) {
    EXPECT_NEAR(RequestsAt(i), 10, kRoundingTolerance);
  }
}

// Guards against a sum of shares above the limit while one node is cut off from
// its peers but not from its callers: the node uses its floor, and an owner
// that takes its silence for no demand grants the whole limit to the others.
TEST_F(LimitsTest, FloorOfIsolatedNodeStaysReserved) {
  RunAndMeasureMaxSum(Duration::Seconds(3));
  Isolate(5);
  EXPECT_LE(RunAndMeasureMaxSum(Duration::Seconds(5)), 1 + kRoundingTolerance);
  EXPECT_NEAR(RequestsAt(5), 10, kRoundingTolerance);
  EXPECT_NEAR(RequestsAt(1), 10, 0.5);
}

// Guards against grants that outlive the lease under which they were given,
// which admit twice the limit for some seconds: the owner's VM pauses for
// longer than the lease, another node takes the role and grants, and the old
// owner resumes and answers the reports that waited for it.
TEST_F(LimitsTest, ResumedOwnerDoesNotGrantBesideSuccessor) {
  fleet_.AssignRole(0, Duration::Seconds(2));
  RunAndMeasureMaxSum(Duration::Millis(1500));
  fleet_.node(0).is_paused = true;
  RunAndMeasureMaxSum(Duration::Millis(600));
  fleet_.AssignRole(1, kLongLease);
  EXPECT_LE(RunAndMeasureMaxSum(Duration::Millis(500)), 1 + kRoundingTolerance);
  fleet_.node(0).is_paused = false;
  EXPECT_LE(RunAndMeasureMaxSum(Duration::Seconds(3)), 1 + kRoundingTolerance);
}

// Guards against a planned handover that admits twice the limit: the owner
// deletes its role key before its grants have expired, and the next holder does
// not know of them and grants the whole limit.
TEST_F(LimitsTest, RoleIsReleasedAfterGrantsExpire) {
  RunAndMeasureMaxSum(Duration::Seconds(3));
  const Time released = fleet_.PrepareRelease();
  EXPECT_GT(released, fleet_.now());
  EXPECT_LE(RunAndMeasureMaxSum(released - fleet_.now()),
            1 + kRoundingTolerance);
  fleet_.AssignRole(3, kLongLease);
  EXPECT_LE(RunAndMeasureMaxSum(Duration::Seconds(3)), 1 + kRoundingTolerance);
  EXPECT_NEAR(RequestsAt(1), 10, 0.5);
}

// Guards against concurrency that stays used up after a node that held all of
// it died, and its callers have moved to another node: grants do not expire, or
// running requests are counted at the owner only.
TEST_F(LimitsTest, ConcurrencyOfDeadNodeIsReclaimed) {
  const auto take_all = [this](std::size_t i) {
    int taken = 0;
    for (int attempt = 0; attempt < 40; ++attempt) {
      const Time now = fleet_.LocalTime(fleet_.node(i));
      const auto decision = fleet_.node(i).limits.TryAcquire(
          now, ContractId("team"), TokenCount(1));
      taken += decision.outcome == ShareOutcome::kGranted ? 1 : 0;
      fleet_.Run(Duration::Millis(100));
    }
    return taken;
  };
  fleet_.Run(Duration::Seconds(2));
  EXPECT_EQ(take_all(2), 16);
  EXPECT_EQ(take_all(4), 0);
  fleet_.node(2).is_up = false;
  fleet_.Run(Duration::Seconds(2));
  // All but the dead node's floor, because the node might be cut off and using
  // it.
  EXPECT_EQ(take_all(4), 14);
}

// Guards against refusals well below the limit after a planned stop: an owner
// that cannot tell a planned stop from a node that is cut off reserves the
// node's floor for hours.
TEST_F(LimitsTest, LeavingNodeReleasesItsFloor) {
  fleet_.RunWithCallers(Duration::Seconds(2), {4});
  fleet_.node(2).limits.Leave();
  fleet_.RunWithCallers(Duration::Seconds(1), {4});
  fleet_.node(2).is_up = false;
  fleet_.RunWithCallers(Duration::Seconds(20), {4});
  EXPECT_GT(RequestsAt(4), 0.99 * 80);
}

// Guards against a node that uses its floor while others still use it: the node
// cedes its floor and restarts at once under the same id, and the new process
// finds no owner and does not know of the cession.
TEST_F(LimitsTest, RestartedNodeWaitsBeforeUsingItsFloor) {
  fleet_.RunWithCallers(Duration::Seconds(2), {4});
  Isolate(2);
  fleet_.Restart(2, settings_);
  double max_sum = 0;
  for (int i = 0; i < 500; ++i) {
    fleet_.RunWithCallers(Duration::Millis(10), {2, 4});
    max_sum = std::max(max_sum, fleet_.MaxSum());
  }
  EXPECT_LE(max_sum, 1 + kRoundingTolerance);
  fleet_.RunWithCallers(
      settings_.max_period * settings_.relayed_cession_periods, {2, 4});
  EXPECT_NEAR(RequestsAt(2), 10, kRoundingTolerance);
}

}  // namespace
}  // namespace gcw
