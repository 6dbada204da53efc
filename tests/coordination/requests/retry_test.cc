#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <vector>

#include "coordination/requests/retry_after.h"
#include "coordination/requests/retry_budget.h"
#include "tests/coordination/routing/routing_fixtures.h"

namespace gcw {
namespace {

constexpr Time kStart = Time::FromMillis(60000);

RequestProfile RequestOf(const std::string& contract) {
  RequestProfile profile = ModelRequest();
  profile.contract = ContractId(contract);
  profile.deadline = kStart + Duration::Seconds(60);
  return profile;
}

// Returns a budget that is full at `kStart`.
RetryBudget FullBudget() {
  RetryBudget budget{RetryBudgetSettings()};
  budget.OnFirstAttempt(Millis(0), ContractId("first"));
  return budget;
}

// Guards against an overload that continues after a fault although callers ask
// for no more than before: a third of the endpoints fail, each failure is
// retried, and retries grow with failures instead of with first attempts.
TEST(RetryBudgetTest, RetriesAreAShareOfFirstAttempts) {
  RetryBudget budget = FullBudget();
  int retries = 0;
  for (int i = 0; i < 4000; ++i) {
    const RequestProfile profile = RequestOf("c" + std::to_string(i % 20));
    budget.OnFirstAttempt(kStart, profile.contract);
    retries += budget.TrySpend(kStart, profile, {}) == RetryVerdict::kAllowed;
  }
  // A tenth of the attempts, plus what was saved.
  EXPECT_LE(retries, 4000 / 10 + 50);
  EXPECT_GE(retries, 4000 / 10);
}

// Guards against a contract whose failing requests use up the retries of all
// others, as with a single budget for the node.
TEST(RetryBudgetTest, AContractSpendsItsOwnBudgetFirst) {
  RetryBudget budget = FullBudget();
  const RequestProfile flood = RequestOf("flood");
  RetryVerdict last = RetryVerdict::kAllowed;
  for (int i = 0; i < 30; ++i) {
    last = budget.TrySpend(kStart, flood, {});
  }
  EXPECT_EQ(last, RetryVerdict::kContractBudget);
  EXPECT_EQ(budget.TrySpend(kStart, RequestOf("other"), {}),
            RetryVerdict::kAllowed);
}

// Guards against a second run: the connection breaks after the request was
// written, so the request may have run and must not be retried.
TEST(RetryBudgetTest, PossiblyRunRequestIsNotRetried) {
  RetryBudget budget = FullBudget();
  RequestProfile profile = RequestOf("team");
  profile.repeatable = false;
  EXPECT_EQ(budget.TrySpend(kStart, profile, {.was_not_run = false}),
            RetryVerdict::kNotRepeatable);
  EXPECT_EQ(budget.TrySpend(kStart, profile, {.was_not_run = true}),
            RetryVerdict::kAllowed);
}

TEST(RetryBudgetTest, NothingIsRetriedPastItsDeadlineOrTooOften) {
  RetryBudget budget = FullBudget();
  RequestProfile profile = RequestOf("team");
  profile.deadline = kStart + Duration::Millis(1000);
  EXPECT_EQ(budget.TrySpend(kStart + Duration::Millis(800), profile,
                            {.expected_first_byte = Duration::Millis(300)}),
            RetryVerdict::kDeadline);
  EXPECT_EQ(budget.TrySpend(kStart, profile, {.attempts = 3}),
            RetryVerdict::kTooManyAttempts);
}

// Guards against nodes that have all their retries again after each start, and
// together keep up the load that made the endpoints fail.
TEST(RetryBudgetTest, NodesThatStartAgainAndAgainSendNoMore) {
  int retries = 0;
  for (int start = 0; start < 20; ++start) {
    RetryBudget budget{RetryBudgetSettings()};
    for (int i = 0; i < 100; ++i) {
      const Time now = Millis(start * 1000 + i * 10);
      const RequestProfile profile = RequestOf("c" + std::to_string(i % 20));
      budget.OnFirstAttempt(now, profile.contract);
      retries += budget.TrySpend(now, profile, {}) == RetryVerdict::kAllowed;
    }
  }
  // A tenth of the attempts, and one a second.
  EXPECT_LE(retries, 20 * 100 / 10 + 20);
  EXPECT_GT(retries, 0);
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
