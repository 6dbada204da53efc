#include <gtest/gtest.h>

#include <rapidcheck/gtest.h>

#include <optional>
#include <vector>

#include "coordination/coordination.h"
#include "tests/support/retry_rule.h"

namespace gcw {
namespace {

const ServiceId kService("s");
constexpr Time kStart = Time::FromMillis(1000000);
constexpr Duration kStep = Duration::Millis(40);

// Over all nodes and in any window, retries stay below the ratio of the
// requests plus the slack, without messages between the nodes.
RC_GTEST_PROP(SharedRetryBudgetProperty,
              LimitHoldsInEveryWindowOverAllNodes,
              ()) {
  SharedRetryBudgetSettings settings;
  settings.slack = 134;
  const auto nodes = *rc::gen::inRange<std::size_t>(1, 9);
  std::vector<SharedRetryBudget> budgets;
  for (std::size_t i = 0; i < nodes; ++i) {
    budgets.emplace_back(settings, SeededRandom(i + 1));
  }
  RetryRule rule(settings.ratio, settings.slack, settings.window);
  const auto rate = *rc::gen::inRange(0, 60);
  std::int64_t request = 0;
  Time now = kStart;
  for (int step = 0; step < 1000; ++step) {
    now = now + kStep;
    for (SharedRetryBudget& budget : budgets) {
      budget.Update(now, nodes);
    }
    for (int i = 0; i < rate; ++i) {
      budgets[static_cast<std::size_t>(i) % nodes].OnRequest(now, kService);
      rule.OnRequest(now);
    }
    // Every request fails, so each node spends its whole budget.
    for (SharedRetryBudget& budget : budgets) {
      rule.OnArrival(now, ++request);
      while (budget.TrySpend(now, kService)) {
        rule.OnArrival(now, request);
      }
    }
  }
  RC_ASSERT(rule.FirstViolation() == "");
}

class SharedRetryBudgetTest : public testing::Test {
 protected:
  // Runs for the time; returns how many retries were allowed. `rate` requests
  // come in each step, and each fails.
  int Run(SharedRetryBudget& budget,
          Duration time,
          int rate,
          std::optional<std::size_t> parts) {
    int spent = 0;
    for (const Time end = now_ + time; now_ < end; now_ = now_ + kStep) {
      budget.Update(now_, parts);
      for (int i = 0; i < rate; ++i) {
        budget.OnRequest(now_, kService);
        spent += budget.TrySpend(now_, kService) ? 1 : 0;
      }
    }
    return spent;
  }

  Time now_ = kStart;
};

TEST_F(SharedRetryBudgetTest, ServicesHaveSeparateBudgets) {
  SharedRetryBudget budget({.ratio = 0, .slack = 20}, SeededRandom(1));
  Run(budget, Duration::Seconds(20), 0, 1);
  while (budget.TrySpend(now_, ServiceId("a"))) {
  }
  EXPECT_TRUE(budget.TrySpend(now_, ServiceId("b")));
}

// Guards against processes that have tokens again after each start.
TEST_F(SharedRetryBudgetTest, AStartedProcessHasOnlyWhatItsRequestsEarn) {
  constexpr int kRate = 4;
  constexpr int kLives = 10;
  int spent = 0;
  int requests = 0;
  for (int life = 0; life < kLives; ++life) {
    SharedRetryBudget budget({.ratio = 0.2, .slack = 1000}, SeededRandom(1));
    spent += Run(budget, Duration::Seconds(1), kRate, std::nullopt);
    requests += kRate * 25;
  }
  EXPECT_GT(spent, 0);
  EXPECT_LE(spent, 0.2 * requests);
}

// Guards against requests of long ago that count when load moves to another
// node.
TEST_F(SharedRetryBudgetTest, WhatRequestsEarnedIsNotSavedForLong) {
  SharedRetryBudget budget({.ratio = 0.2, .slack = 0}, SeededRandom(1));
  for (int i = 0; i < 1000; ++i) {
    budget.OnRequest(now_, kService);
  }
  Run(budget, Duration::Seconds(11), 0, 1);
  EXPECT_FALSE(budget.TrySpend(now_, kService));
}

// Guards against a part of less than one retry that never allows any.
TEST_F(SharedRetryBudgetTest, SmallPartsOfManyNodesAllowRetriesTogether) {
  constexpr std::size_t kNodes = 400;
  int spent = 0;
  for (std::size_t i = 0; i < kNodes; ++i) {
    SharedRetryBudget budget({.ratio = 0, .slack = 100}, SeededRandom(i + 1));
    budget.Update(kStart - Duration::Seconds(60), kNodes);
    budget.Update(kStart, kNodes);
    spent += budget.TrySpend(kStart, kService) ? 1 : 0;
  }
  EXPECT_GT(spent, 25);
  EXPECT_LE(spent, 100);
}

TEST_F(SharedRetryBudgetTest, ARefundedRetryCanBeSpentAgain) {
  SharedRetryBudget budget({.ratio = 0, .slack = 3}, SeededRandom(1));
  Run(budget, Duration::Seconds(20), 0, 1);
  ASSERT_TRUE(budget.TrySpend(now_, kService));
  ASSERT_FALSE(budget.TrySpend(now_, kService));
  budget.Refund(now_, kService);
  EXPECT_TRUE(budget.TrySpend(now_, kService));
}

// Guards against a fleet that has lost nodes and never grows into their parts.
TEST_F(SharedRetryBudgetTest, ALargerPartComesBackOverTime) {
  SharedRetryBudget budget({.ratio = 0, .slack = 100}, SeededRandom(1));
  Run(budget, Duration::Seconds(20), 1, 10);
  EXPECT_GE(Run(budget, Duration::Seconds(10), 1, 2), 18);
}

}  // namespace
}  // namespace gcw
