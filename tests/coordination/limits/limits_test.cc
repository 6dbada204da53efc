#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "tests/coordination/limits/limits_fleet.h"

namespace gcw {
namespace {

constexpr std::size_t kNodes = 8;
constexpr Duration kLongRole = Duration::Seconds(3600);
constexpr double kRounding = 1e-6;

Contract TestTeam() {
  return TestContract("team", 80, 8000, 16);
}

class LimitsTest : public testing::Test {
 protected:
  LimitsTest() { fleet_.GiveRole(0, kLongRole); }

  // Runs with callers at all nodes and returns the worst sum of shares.
  double RunAndWatch(Duration span) {
    double worst = 0;
    for (const Time end = fleet_.now() + span; fleet_.now() < end;) {
      fleet_.RunWithCallers(Duration::Millis(10), everywhere_);
      worst = std::max(worst, fleet_.WorstSum());
    }
    return worst;
  }
  double RequestsAt(std::size_t i) const {
    return fleet_.ShareOf(i)[LimitResource::kRequests];
  }
  void CutOff(std::size_t i) {
    const NodeId cut = fleet_.node(i).id;
    fleet_.network().SetConnected([cut](const NodeId& from, const NodeId& to) {
      return from != cut && to != cut;
    });
  }

  const std::vector<std::size_t> everywhere_{0, 1, 2, 3, 4, 5, 6, 7};
  LimitSettings settings_;
  LimitsFleet fleet_{kNodes, settings_, TestTeam(), 11};
};

TEST_F(LimitsTest, SharesFollowDemand) {
  fleet_.RunWithCallers(Duration::Seconds(3), {2});
  EXPECT_GT(RequestsAt(2), 0.99 * 80);
  fleet_.RunWithCallers(Duration::Seconds(3), {2, 5});
  EXPECT_NEAR(RequestsAt(2), 40, 2);
  EXPECT_NEAR(RequestsAt(5), 40, 2);
}

TEST_F(LimitsTest, NodeWithoutShareGetsOneSoon) {
  const auto attempt = [&](std::size_t i) {
    const Time now = fleet_.Local(fleet_.node(i));
    return fleet_.node(i)
        .limits.TryAcquire(now, ContractId("team"), TokenCount(10))
        .outcome;
  };
  fleet_.Run(Duration::Seconds(4));
  EXPECT_EQ(attempt(6), ShareOutcome::kPending);
  fleet_.Run(Duration::Millis(150));
  EXPECT_EQ(attempt(6), ShareOutcome::kGranted);
  // From another node that uses all of it, when that one has reported twice
  // and the small share has let one request through.
  fleet_.RunWithCallers(Duration::Seconds(3), {2});
  EXPECT_EQ(attempt(3), ShareOutcome::kPending);
  fleet_.RunWithCallers(Duration::Seconds(3), {2});
  EXPECT_EQ(attempt(3), ShareOutcome::kGranted);
}

TEST_F(LimitsTest, TokensAreSettledAtTheEnd) {
  fleet_.RunWithCallers(Duration::Seconds(3), {2});
  fleet_.Run(Duration::Seconds(2));
  Limits& limits = fleet_.node(2).limits;
  const Time now = fleet_.Local(fleet_.node(2));
  const ContractId team("team");
  ASSERT_EQ(limits.TryAcquire(now, team, TokenCount(100)).outcome,
            ShareOutcome::kGranted);
  // It used ten times a whole second's tokens: the next ones wait.
  limits.Release(team, TokenCount(100), TokenCount(80000));
  const ShareDecision decision = limits.TryAcquire(now, team, TokenCount(100));
  EXPECT_EQ(decision.outcome, ShareOutcome::kTokenRate);
  EXPECT_GT(decision.wait, Duration::Seconds(8));
}

TEST_F(LimitsTest, LoweredContractTakesEffectWhereItIsKnown) {
  fleet_.RunWithCallers(Duration::Seconds(3), {2});
  fleet_.ChangeContract(2, TestContract("team", 8, 800, 2));
  EXPECT_LE(RequestsAt(2), 8 + kRounding);
  EXPECT_LE(fleet_.ShareOf(2)[LimitResource::kConcurrency], 2 + kRounding);
}

TEST_F(LimitsTest, WithdrawnContractIsUnknownAtOnce) {
  fleet_.RunWithCallers(Duration::Seconds(3), {2});
  Limits& limits = fleet_.node(2).limits;
  limits.OnContractWithdrawn(ContractId("team"));
  EXPECT_EQ(limits
                .TryAcquire(fleet_.Local(fleet_.node(2)), ContractId("team"),
                            TokenCount(10))
                .outcome,
            ShareOutcome::kUnknownContract);
}

// Symptom: while the limit owner is lost, a customer gets nothing at all, or
// every node serves the whole limit.
// Sequence: all nodes have callers and grants; the owner dies; nobody takes
// the role, since the store is down as well.
// Cause: nodes that wait for an owner forever, or that fall back to a floor
// while grants that count on its cession still live.
TEST_F(LimitsTest, OwnerLostLeavesEachNodeItsFloor) {
  RunAndWatch(Duration::Seconds(3));
  fleet_.node(0).is_up = false;
  // Grants end after 4 periods; the floor's cession ends after 9 at most.
  const double worst = RunAndWatch(settings_.period_min * 9);
  EXPECT_LE(worst, 1 + kRounding);
  for (std::size_t i = 1; i < kNodes; ++i) {
    EXPECT_NEAR(RequestsAt(i), 10, kRounding);
  }
}

// Symptom: the sum of shares exceeds the limit while one node is cut off.
// Sequence: a node loses all its peers but keeps its callers; it falls back
// to its floor; the owner gives the whole limit to the others.
// Cause: an owner that takes silence for a node that needs nothing.
TEST_F(LimitsTest, FloorOfACutOffNodeStaysReserved) {
  RunAndWatch(Duration::Seconds(3));
  CutOff(5);
  EXPECT_LE(RunAndWatch(Duration::Seconds(5)), 1 + kRounding);
  EXPECT_NEAR(RequestsAt(5), 10, kRounding);
  EXPECT_NEAR(RequestsAt(1), 10, 0.5);
}

// Symptom: twice the limit is admitted for some seconds.
// Sequence: the owner is paused by its VM for longer than its lease; another
// node takes the role and grants; the old owner wakes, still believes in its
// role, and answers the reports that waited for it.
// Cause: grants that outlive the lease under which they were given.
TEST_F(LimitsTest, PausedOwnerDoesNotGrantBesideItsSuccessor) {
  fleet_.GiveRole(0, Duration::Seconds(2));
  RunAndWatch(Duration::Millis(1500));
  fleet_.node(0).is_paused = true;
  RunAndWatch(Duration::Millis(600));
  fleet_.GiveRole(1, kLongRole);
  EXPECT_LE(RunAndWatch(Duration::Millis(500)), 1 + kRounding);
  fleet_.node(0).is_paused = false;
  EXPECT_LE(RunAndWatch(Duration::Seconds(3)), 1 + kRounding);
}

// Symptom: a planned hand-over of the role admits twice the limit.
// Sequence: the owner deletes its role key at once; the next holder knows
// nothing of the grants that still live and gives out the whole limit.
// Cause: a release that does not wait for its grants to expire.
TEST_F(LimitsTest, RoleIsReleasedOnlyWhenItsGrantsHaveExpired) {
  RunAndWatch(Duration::Seconds(3));
  const Time released = fleet_.PrepareRelease();
  EXPECT_GT(released, fleet_.now());
  EXPECT_LE(RunAndWatch(released - fleet_.now()), 1 + kRounding);
  fleet_.GiveRole(3, kLongRole);
  EXPECT_LE(RunAndWatch(Duration::Seconds(3)), 1 + kRounding);
  EXPECT_NEAR(RequestsAt(1), 10, 0.5);
}

// Symptom: after a node died, its customers' concurrency stays used up.
// Sequence: one node holds all of a contract's concurrency and dies; callers
// come to another node.
// Cause: grants without an expiry, or requests counted at the owner alone.
TEST_F(LimitsTest, ConcurrencyOfADeadNodeComesBack) {
  const auto take_all = [this](std::size_t i) {
    int taken = 0;
    for (int attempt = 0; attempt < 40; ++attempt) {
      const Time now = fleet_.Local(fleet_.node(i));
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
  // All but the dead node's floor, which it might be using if it is cut off.
  EXPECT_EQ(take_all(4), 14);
}

// Symptom: callers are refused although the limit is far from used.
// Sequence: a node is stopped on purpose; its floor stays reserved for hours.
// Cause: an owner that can't tell a planned stop from a node that is cut off.
TEST_F(LimitsTest, LeavingNodeHandsItsFloorOver) {
  fleet_.RunWithCallers(Duration::Seconds(2), {4});
  fleet_.node(2).limits.Leave();
  fleet_.RunWithCallers(Duration::Seconds(1), {4});
  fleet_.node(2).is_up = false;
  fleet_.RunWithCallers(Duration::Seconds(20), {4});
  EXPECT_GT(RequestsAt(4), 0.99 * 80);
}

// Symptom: a node that was replaced admits beside what others were lent.
// Sequence: a node cedes its floor, is replaced under the same id at once, and
// its new process finds no owner.
// Cause: a fresh process that does not know what its earlier run promised.
TEST_F(LimitsTest, ReplacedNodeWaitsBeforeItUsesItsFloor) {
  fleet_.RunWithCallers(Duration::Seconds(2), {4});
  CutOff(2);
  fleet_.Restart(2, settings_);
  double worst = 0;
  for (int i = 0; i < 500; ++i) {
    fleet_.RunWithCallers(Duration::Millis(10), {2, 4});
    worst = std::max(worst, fleet_.WorstSum());
  }
  EXPECT_LE(worst, 1 + kRounding);
  fleet_.RunWithCallers(
      settings_.period_max * settings_.relayed_cession_periods, {2, 4});
  EXPECT_NEAR(RequestsAt(2), 10, kRounding);
}

}  // namespace
}  // namespace gcw
