#include <gtest/gtest.h>

#include <rapidcheck/gtest.h>

#include <deque>

#include "coordination/coordination.h"

namespace gcw {
namespace {

// Over all nodes and in any window, retries stay below the ratio of the
// requests plus the slack, without messages between the nodes.
RC_GTEST_PROP(SharedRetryBudgetProperty,
              LimitHoldsInEveryWindowOverAllNodes,
              ()) {
  const SharedRetryBudgetSettings settings{0.2, 134, Duration::Seconds(10),
                                           0.8};
  const auto nodes = *rc::gen::inRange<std::size_t>(1, 9);
  std::vector<SharedRetryBudget> budgets(nodes, SharedRetryBudget(settings));
  for (SharedRetryBudget& budget : budgets) {
    budget.SetSlackParts(nodes);
  }
  const ServiceId service("s");
  std::deque<Time> requests;
  std::deque<Time> spent;
  const auto rate = *rc::gen::inRange(0, 60);
  for (int step = 0; step < 400; ++step) {
    const Time now = Time::FromMillis(1000000 + step * 100);
    for (int i = 0; i < rate; ++i) {
      budgets[static_cast<std::size_t>(i) % nodes].OnRequest(now, service);
      requests.push_back(now);
    }
    // Every request fails, so each node spends its whole budget.
    for (SharedRetryBudget& budget : budgets) {
      while (budget.TrySpend(now, service)) {
        spent.push_back(now);
      }
    }
    while (!spent.empty() && now - spent.front() >= settings.window) {
      spent.pop_front();
    }
    while (!requests.empty() && now - requests.front() >= settings.window) {
      requests.pop_front();
    }
    RC_ASSERT(static_cast<double>(spent.size()) <=
              settings.ratio * static_cast<double>(requests.size()) +
                  settings.slack);
  }
}

TEST(SharedRetryBudgetTest, ServicesHaveSeparateBudgets) {
  SharedRetryBudget budget({0, 10, Duration::Seconds(10), 1});
  budget.SetSlackParts(1);
  const Time now = Time::FromMillis(1000000);
  while (budget.TrySpend(now, ServiceId("a"))) {
  }
  EXPECT_TRUE(budget.TrySpend(now, ServiceId("b")));
}

}  // namespace
}  // namespace gcw
