#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <vector>

#include "coordination/requests/retry_after.h"
#include "coordination/requests/retry_budget.h"
#include "tests/coordination/routing/routing_fixtures.h"

namespace gcw {
namespace {

RequestProfile RequestOf(const std::string& contract) {
  RequestProfile profile = ModelRequest();
  profile.contract = ContractId(contract);
  return profile;
}

// Guards against an overload that continues after a fault although callers ask
// for no more than before: a third of the endpoints fail, each failure is
// retried, and retries grow with failures instead of with first attempts.
TEST(RetryBudgetTest, RetriesAreAShareOfFirstAttempts) {
  RetryBudget budget{RetryBudgetSettings()};
  int retries = 0;
  for (int i = 0; i < 4000; ++i) {
    const RequestProfile profile = RequestOf("c" + std::to_string(i % 20));
    budget.OnFirstAttempt(Millis(0), profile.contract);
    retries +=
        budget.TrySpend(Millis(0), profile, {}) == RetryVerdict::kAllowed;
  }
  // A tenth of the attempts, plus the initial budget.
  EXPECT_LE(retries, 4000 / 10 + 50);
  EXPECT_GE(retries, 4000 / 10);
}

// Guards against a contract whose failing requests use up the retries of all
// others, as with a single budget for the node.
TEST(RetryBudgetTest, AContractSpendsItsOwnBudgetFirst) {
  RetryBudget budget{RetryBudgetSettings()};
  const RequestProfile flood = RequestOf("flood");
  RetryVerdict last = RetryVerdict::kAllowed;
  for (int i = 0; i < 30; ++i) {
    last = budget.TrySpend(Millis(0), flood, {});
  }
  EXPECT_EQ(last, RetryVerdict::kContractBudget);
  EXPECT_EQ(budget.TrySpend(Millis(0), RequestOf("other"), {}),
            RetryVerdict::kAllowed);
}

// Guards against a second run: the connection breaks after the request was
// written, so the request may have run and must not be retried.
TEST(RetryBudgetTest, PossiblyRunRequestIsNotRetried) {
  RetryBudget budget{RetryBudgetSettings()};
  RequestProfile profile = RequestOf("team");
  profile.repeatable = false;
  EXPECT_EQ(budget.TrySpend(Millis(0), profile, {.was_not_run = false}),
            RetryVerdict::kNotRepeatable);
  EXPECT_EQ(budget.TrySpend(Millis(0), profile, {.was_not_run = true}),
            RetryVerdict::kAllowed);
}

TEST(RetryBudgetTest, NothingIsRetriedPastItsDeadlineOrTooOften) {
  RetryBudget budget{RetryBudgetSettings()};
  RequestProfile profile = RequestOf("team");
  profile.deadline = Millis(1000);
  EXPECT_EQ(budget.TrySpend(Millis(800), profile,
                            {.expected_first_byte = Duration::Millis(300)}),
            RetryVerdict::kDeadline);
  EXPECT_EQ(budget.TrySpend(Millis(0), profile, {.attempts = 3}),
            RetryVerdict::kTooManyAttempts);
}

TEST(RetryBudgetTest, ForgetsIdleContracts) {
  RetryBudget budget{RetryBudgetSettings()};
  budget.OnFirstAttempt(Millis(0), ContractId("a"));
  budget.Tick(Millis(300000));
  EXPECT_EQ(budget.known_contracts(), 0U);
}

// Guards against callers that are refused in one overload and all return in the
// same second, which causes the next overload. All 200 refusals happen at the
// same moment.
TEST(RetryAfterTest, RefusedCallersReturnApart) {
  RetryAfterPlanner planner(RetryAfterSettings(), SeededRandom(3));
  planner.SetReturnRate(20);
  std::vector<std::int64_t> seconds(60);
  for (int i = 0; i < 200; ++i) {
    const Duration after = planner.Plan(Millis(0), RefusalKind::kNoCapacity);
    ++seconds.at(static_cast<std::size_t>(after.millis() / 1000));
  }
  EXPECT_LE(*std::ranges::max_element(seconds), 40);
}

TEST(RetryAfterTest, NoRetryAfterForPermanentRefusals) {
  RetryAfterPlanner planner(RetryAfterSettings(), SeededRandom(3));
  EXPECT_EQ(planner.Plan(Millis(0), RefusalKind::kModelNotAllowed), Duration());
  EXPECT_GT(planner.Plan(Millis(0), RefusalKind::kRequestRate), Duration());
}

RC_GTEST_PROP(RetryAfterTest, StaysWithinItsBounds, ()) {
  const RetryAfterSettings settings;
  RetryAfterPlanner planner(settings, SeededRandom(*rc::gen::inRange(0, 1000)));
  std::int64_t now = 0;
  const int steps = *rc::gen::inRange(1, 300);
  for (int step = 0; step < steps; ++step) {
    now += *rc::gen::inRange(0, 3000);
    planner.SetReturnRate(*rc::gen::inRange(0, 50));
    const Duration after = planner.Plan(Millis(now), RefusalKind::kQueueFull);
    RC_ASSERT(after >= settings.min_delay);
    RC_ASSERT(after <= settings.max_delay * 5 / 4);
  }
}

}  // namespace
}  // namespace gcw
