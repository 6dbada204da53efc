#include "coordination/admission/tier_pools.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <string>
#include <vector>

namespace gcw {
namespace {

constexpr std::int64_t kBatch = 10;

std::vector<EndpointHeadroom> MakeEndpoints(std::int64_t paid, int count = 8) {
  std::vector<EndpointHeadroom> endpoints;
  for (int i = 0; i < count; ++i) {
    const std::int64_t paid_here = paid / count + (i < paid % count ? 1 : 0);
    endpoints.push_back({.endpoint = EndpointId("e" + std::to_string(i)),
                         .batch_limit = kBatch,
                         .running = paid_here,
                         .queued = 0,
                         .paid = paid_here,
                         .cache_share = 0});
  }
  return endpoints;
}

class TierPoolsTest : public testing::Test {
 protected:
  void Update(std::int64_t paid, std::int64_t unreported = 0) {
    pools_.Update(now_, MakeEndpoints(paid), unreported);
  }

  AdmissionSettings settings_;
  TierPools pools_{settings_};
  Time now_ = Time::FromMillis(1000000);
};

TEST_F(TierPoolsTest, PaidWorkGetsEndpointsAtOnce) {
  Update(7);
  EXPECT_EQ(pools_.paid_count(), 1U);
  Update(8);
  EXPECT_EQ(pools_.paid_count(), 2U);
  Update(8, 30);
  EXPECT_EQ(pools_.paid_count(), 6U);
}

TEST_F(TierPoolsTest, TrialWorkLeavesAReserve) {
  Update(0);
  EXPECT_EQ(pools_.trial_begin(), 1U);
  Update(20);
  EXPECT_EQ(pools_.paid_count(), 3U);
  EXPECT_EQ(pools_.trial_begin(), 4U);
  Update(1000);
  EXPECT_EQ(pools_.trial_begin(), 8U);
}

// Guards against repeated preemption of trial streams under steady load: paid
// load dips briefly, an endpoint goes to trial work, and its trial streams are
// cancelled as soon as the load is back.
TEST_F(TierPoolsTest, ShortDipKeepsEndpointsForPaidWork) {
  Update(35);
  now_ = now_ + settings_.shrink_delay;
  Update(7);
  EXPECT_EQ(pools_.paid_count(), 5U);
  now_ = now_ + Duration::Millis(1);
  Update(7);
  EXPECT_EQ(pools_.paid_count(), 1U);
}

// Guards against paid work on endpoints of trial work: engines do not report
// which requests are paid, and unknown work is counted as trial work.
TEST_F(TierPoolsTest, UnclassifiedWorkCountsAsPaid) {
  auto endpoints = MakeEndpoints(35);
  for (EndpointHeadroom& endpoint : endpoints) {
    endpoint.paid.reset();
  }
  pools_.Update(now_, endpoints, 0);
  EXPECT_EQ(pools_.paid_count(), 5U);
}

TEST_F(TierPoolsTest, EndpointOrderIsIndependentOfInputOrder) {
  TierPools other(settings_);
  auto reversed = MakeEndpoints(0);
  std::reverse(reversed.begin(), reversed.end());
  other.Update(now_, reversed, 0);
  Update(0);
  for (std::size_t i = 0; i < 8; ++i) {
    EXPECT_EQ(pools_.endpoints()[i].endpoint, other.endpoints()[i].endpoint);
  }
}

}  // namespace
}  // namespace gcw
