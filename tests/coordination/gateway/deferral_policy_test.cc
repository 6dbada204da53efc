#include <gtest/gtest.h>

#include <string>

#include "coordination/coordination.h"

namespace gcw {
namespace {

constexpr Duration kObjective = Duration::Millis(250);

class DeferralPolicyTest : public testing::Test {
 protected:
  // Starts `times` requests of the model, spread over one second.
  void Start(int times) {
    for (int i = 0; i < times; ++i) {
      now_ = now_ + Duration::Millis(1000 / times);
      policy_.OnStarted(now_, service_, model_);
    }
  }
  Urgency Classify() {
    return policy_.Classify(now_, service_, model_, kObjective);
  }
  // Returns how many of `requests` simultaneous requests are prioritized.
  int CountPrioritized(int requests) {
    int prioritized = 0;
    for (int i = 0; i < requests; ++i) {
      if (Classify() == Urgency::kOnTime) {
        policy_.OnWaitStarted(service_, model_);
        ++prioritized;
      }
    }
    return prioritized;
  }

  Time now_ = Time::FromMillis(1'000'000);
  ServiceId service_{"llm"};
  ModelId model_{"m"};
  DeferralPolicy policy_{{}};
};

// Guards against a queue in order of arrival that is longer than the objective:
// with half as many requests again as the groups can start in time, nobody
// would be served in time unless some requests are deferred.
TEST_F(DeferralPolicyTest, PrioritizesHalfOfWhatStartsWithinTheObjective) {
  Start(40);
  // 40 a second are 10 within the objective of 250 ms; the window is half of
  // that.
  EXPECT_EQ(CountPrioritized(30), 5);
}

// Guards against a policy that reacts seconds late, in either direction,
// because it learns from requests when they start and not from those that wait.
TEST_F(DeferralPolicyTest, StartedRequestFreesTheWindowAtOnce) {
  Start(40);
  CountPrioritized(30);
  EXPECT_EQ(Classify(), Urgency::kDeferred);
  policy_.OnWaitEnded(service_, model_);
  EXPECT_EQ(Classify(), Urgency::kOnTime);
}

// Guards against a restart into a full fleet that makes all requests late:
// nodes without any started request must not send all that arrive at once.
TEST_F(DeferralPolicyTest, NodeWithoutStartedRequestsPrioritizesOne) {
  EXPECT_EQ(CountPrioritized(10), 1);
}

TEST_F(DeferralPolicyTest, WindowIsAtLeastOne) {
  Start(40);
  now_ = now_ + Duration::Seconds(60);
  EXPECT_EQ(CountPrioritized(10), 1);
}

TEST_F(DeferralPolicyTest, OldStartsDoNotCount) {
  Start(40);
  now_ = now_ + Duration::Millis(500);
  EXPECT_NEAR(policy_.Window(now_, service_, model_, kObjective), 2.5, 0.3);
}

TEST_F(DeferralPolicyTest, EachModelHasItsOwnWindow) {
  Start(40);
  CountPrioritized(30);
  EXPECT_EQ(policy_.Classify(now_, service_, ModelId("other"), kObjective),
            Urgency::kOnTime);
}

// Guards against memory that grows without bound when a caller names another
// unserved model in each request: classifying a request must not create state
// for its model.
TEST_F(DeferralPolicyTest, UnservedModelsLeaveNoState) {
  for (int i = 0; i < 1000; ++i) {
    policy_.Classify(now_, service_, ModelId(std::to_string(i)), kObjective);
  }
  EXPECT_EQ(policy_.model_count(), 0U);
}

}  // namespace
}  // namespace gcw
