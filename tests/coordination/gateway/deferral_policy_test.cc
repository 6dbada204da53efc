#include <gtest/gtest.h>

#include <limits>

#include "coordination/coordination.h"

namespace gcw {
namespace {

constexpr double kEarly = 0.5;
constexpr double kLate = 1.5;
constexpr double kNever = std::numeric_limits<double>::infinity();

class DeferralPolicyTest : public testing::Test {
 protected:
  void Begin(Urgency urgency, double part, int times = 1) {
    for (int i = 0; i < times; ++i) {
      policy_.OnBegan(service_, model_, urgency, part);
    }
  }
  double part() const { return policy_.deferred_part(service_, model_); }
  int CountDeferred(const ModelId& model, int requests) {
    int deferred = 0;
    for (int i = 0; i < requests; ++i) {
      deferred += policy_.Grade(service_, model) == Urgency::kDeferred ? 1 : 0;
    }
    return deferred;
  }

  ServiceId service_{"llm"};
  ModelId model_{"m"};
  DeferralPolicy policy_{{}, SeededRandom(3)};
};

TEST_F(DeferralPolicyTest, DefersNothingWhileRequestsBeginInTime) {
  Begin(Urgency::kOnTime, kEarly, 100);
  EXPECT_EQ(part(), 0);
  EXPECT_EQ(CountDeferred(model_, 100), 0);
}

// Symptom: with half as many requests again as the groups can begin in time,
// nobody is served in time. Sequence: all wait in one queue, in order of
// arrival, and the queue is longer than the objective. Cause: nothing gave way.
TEST_F(DeferralPolicyTest, DefersAPartWhenRequestsBeginLate) {
  Begin(Urgency::kOnTime, kLate, 5);
  EXPECT_NEAR(part(), 0.5, 0.01);
  EXPECT_NEAR(CountDeferred(model_, 1000), 500, 60);
}

TEST_F(DeferralPolicyTest, SomeAlwaysShowWhetherThereIsRoom) {
  Begin(Urgency::kOnTime, kNever, 1000);
  EXPECT_LT(part(), 1);
  EXPECT_LT(CountDeferred(model_, 1000), 1000);
}

// Symptom: most requests are late long after a burst. Cause: the few that were
// not deferred are too few to show that there is room; the others have to.
TEST_F(DeferralPolicyTest, DeferredRequestsThatBeginShowRoom) {
  Begin(Urgency::kOnTime, kLate, 8);
  const double full = part();
  Begin(Urgency::kDeferred, kLate);
  const double begun = part();
  EXPECT_LT(begun, full);
  Begin(Urgency::kDeferred, kEarly);
  EXPECT_LT(part() - begun, begun - full);
  Begin(Urgency::kDeferred, kEarly, 20);
  EXPECT_EQ(part(), 0);
}

TEST_F(DeferralPolicyTest, DeferredRequestsThatNeverBeginShowNone) {
  Begin(Urgency::kOnTime, kLate, 5);
  const double before = part();
  Begin(Urgency::kDeferred, kNever);
  EXPECT_GT(part(), before);
}

TEST_F(DeferralPolicyTest, EachModelHasItsOwnPart) {
  Begin(Urgency::kOnTime, kLate, 5);
  EXPECT_EQ(CountDeferred(ModelId("other"), 100), 0);
}

TEST_F(DeferralPolicyTest, ResumedStreamsSayNothingOfTheQueue) {
  Begin(Urgency::kResumed, kLate, 20);
  EXPECT_EQ(part(), 0);
}

}  // namespace
}  // namespace gcw
