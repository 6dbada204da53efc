#include <gtest/gtest.h>

#include <string>

#include "coordination/coordination.h"

namespace gcw {
namespace {

constexpr Duration kObjective = Duration::Millis(250);

class DeferralPolicyTest : public testing::Test {
 protected:
  // Requests of this model begin so often for a second.
  void Begin(int times) {
    for (int i = 0; i < times; ++i) {
      now_ = now_ + Duration::Millis(1000 / times);
      policy_.OnBegan(now_, service_, model_);
    }
  }
  Urgency Grade() { return policy_.Grade(now_, service_, model_, kObjective); }
  // How many of so many requests that come at once go first.
  int CountFirst(int requests) {
    int first = 0;
    for (int i = 0; i < requests; ++i) {
      if (Grade() == Urgency::kOnTime) {
        policy_.OnWaits(service_, model_);
        ++first;
      }
    }
    return first;
  }

  Time now_ = Time::FromMillis(1'000'000);
  ServiceId service_{"llm"};
  ModelId model_{"m"};
  DeferralPolicy policy_{{}};
};

// Symptom: with half as many requests again as the groups can begin in time,
// nobody is served in time. Sequence: all wait in one queue, in order of
// arrival, and the queue is longer than the objective. Cause: nothing gave way.
TEST_F(DeferralPolicyTest, AsManyGoFirstAsBeginWithinTheObjective) {
  Begin(40);
  // 40 a second are 10 within the objective of 250 ms; half of that.
  EXPECT_EQ(CountFirst(30), 5);
}

// Symptom: requests go on to be late for seconds after the queue has gone, or
// are late for seconds until any give way. Cause: the policy learnt from
// requests when they began, not from those that wait.
TEST_F(DeferralPolicyTest, EachOneThatBeginsMakesRoomAtOnce) {
  Begin(40);
  CountFirst(30);
  EXPECT_EQ(Grade(), Urgency::kDeferred);
  policy_.OnWaitOver(service_, model_);
  EXPECT_EQ(Grade(), Urgency::kOnTime);
}

// Symptom: after a restart into a full fleet all requests are late. Sequence:
// a node that knows nothing yet sends all that come at once, as do the others.
// Cause: without a beginning there was no limit.
TEST_F(DeferralPolicyTest, ANodeThatHasSeenNoBeginningLetsOneGoFirst) {
  EXPECT_EQ(CountFirst(10), 1);
}

TEST_F(DeferralPolicyTest, OneMayAlwaysShowWhetherThereIsRoom) {
  Begin(40);
  now_ = now_ + Duration::Seconds(60);
  EXPECT_EQ(CountFirst(10), 1);
}

TEST_F(DeferralPolicyTest, OldBeginningsDoNotCount) {
  Begin(40);
  now_ = now_ + Duration::Millis(500);
  EXPECT_NEAR(policy_.Window(now_, service_, model_, kObjective), 2.5, 0.3);
}

TEST_F(DeferralPolicyTest, EachModelHasItsOwnWindow) {
  Begin(40);
  CountFirst(30);
  EXPECT_EQ(policy_.Grade(now_, service_, ModelId("other"), kObjective),
            Urgency::kOnTime);
}

// Symptom: a node's memory grows until it is killed. Sequence: a caller names
// another model in each request; none of them is served anywhere. Cause: what
// is counted by model began with the question whether a request gives way.
TEST_F(DeferralPolicyTest, ModelsThatCallersMakeUpLeaveNothingBehind) {
  for (int i = 0; i < 1000; ++i) {
    policy_.Grade(now_, service_, ModelId(std::to_string(i)), kObjective);
  }
  EXPECT_EQ(policy_.models(), 0U);
}

}  // namespace
}  // namespace gcw
