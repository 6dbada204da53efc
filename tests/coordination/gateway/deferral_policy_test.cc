#include <gtest/gtest.h>

#include <string>

#include "coordination/coordination.h"

namespace gcw {
namespace {

constexpr Duration kObjective = Duration::Millis(250);

class DeferralPolicyTest : public testing::Test {
 protected:
  // Starts `times` requests of the model, spread over one second.
  void Begin(int times) {
    for (int i = 0; i < times; ++i) {
      now_ = now_ + Duration::Millis(1000 / times);
      policy_.OnBegan(now_, service_, model_);
    }
  }
  Urgency Grade() { return policy_.Grade(now_, service_, model_, kObjective); }
  // Returns how many of `requests` simultaneous requests are prioritized.
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

// Guards against a queue in order of arrival that is longer than the objective:
// with half as many requests again as the groups can start in time, nobody
// would be served in time unless some requests are deferred.
TEST_F(DeferralPolicyTest, AsManyGoFirstAsBeginWithinTheObjective) {
  Begin(40);
  // 40 a second are 10 within the objective of 250 ms; the window is half of
  // that.
  EXPECT_EQ(CountFirst(30), 5);
}

// Guards against a policy that reacts seconds late, in either direction,
// because it learns from requests when they start and not from those that wait.
TEST_F(DeferralPolicyTest, EachOneThatBeginsMakesRoomAtOnce) {
  Begin(40);
  CountFirst(30);
  EXPECT_EQ(Grade(), Urgency::kDeferred);
  policy_.OnWaitOver(service_, model_);
  EXPECT_EQ(Grade(), Urgency::kOnTime);
}

// Guards against a restart into a full fleet that makes all requests late:
// nodes without any started request must not send all that arrive at once.
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

// Guards against memory that grows without bound when a caller names another
// unserved model in each request: grading a request must not create state for
// its model.
TEST_F(DeferralPolicyTest, ModelsThatCallersMakeUpLeaveNothingBehind) {
  for (int i = 0; i < 1000; ++i) {
    policy_.Grade(now_, service_, ModelId(std::to_string(i)), kObjective);
  }
  EXPECT_EQ(policy_.models(), 0U);
}

}  // namespace
}  // namespace gcw
