#include <gtest/gtest.h>

#include "coordination/coordination.h"

namespace gcw {
namespace {

const ModelId kLarge("large");
const ModelId kSmall("small");

EngineProfile Profile() {
  EngineProfile profile;
  profile.models = {
      {kLarge, 16, 0.5, 1.0, Duration::Seconds(16), Duration::Millis(1600)},
      {kSmall, 4, 0.5, 0.6, Duration::Seconds(12), Duration::Millis(1100)}};
  return profile;
}

double ShareOf(const ModelDemand& demand, std::size_t model) {
  return demand.ApplyTo(Profile()).models[model].work_share;
}

Time At(std::int64_t millis) {
  return Time::FromMillis(1000 + millis);
}

TEST(ModelDemandTest, KeepsTheConfiguredSharesWithoutReports) {
  const ModelDemand demand({});
  EXPECT_DOUBLE_EQ(ShareOf(demand, 0), 0.5);
  EXPECT_DOUBLE_EQ(ShareOf(demand, 1), 0.5);
}

TEST(ModelDemandTest, KeepsTheConfiguredSharesWhileNoModelIsShort) {
  ModelDemand demand({});
  demand.OnUtilization(At(0), kLarge, 0.2);
  demand.OnUtilization(At(0), kSmall, 0.5);
  EXPECT_DOUBLE_EQ(ShareOf(demand, 0), 0.5);
}

// Guards against a model that queues at full engines while those of another
// model are half empty: its share of the VMs has to grow.
TEST(ModelDemandTest, AModelWhoseEnginesAreFullGetsALargerShare) {
  ModelDemand demand({});
  demand.OnUtilization(At(0), kLarge, 0.2);
  demand.OnUtilization(At(0), kSmall, 1.4);
  EXPECT_NEAR(ShareOf(demand, 1), 2.0 / 3, 1e-9);
  EXPECT_NEAR(ShareOf(demand, 0), 1.0 / 3, 1e-9);
}

TEST(ModelDemandTest, TheShareGrowsToALimit) {
  ModelDemand demand({});
  demand.OnUtilization(At(0), kSmall, 1000);
  EXPECT_NEAR(ShareOf(demand, 1), 4.0 / 5, 1e-9);
}

// Guards against groups that change their model with each short burst.
TEST(ModelDemandTest, OneFullEngineMovesTheMeanLittle) {
  ModelDemand demand({});
  for (std::int64_t i = 0; i < 40; ++i) {
    demand.OnUtilization(At(100 * i), kSmall, 0.4);
  }
  demand.OnUtilization(At(4000), kSmall, 3);
  EXPECT_DOUBLE_EQ(ShareOf(demand, 1), 0.5);
  for (std::int64_t i = 1; i < 80; ++i) {
    demand.OnUtilization(At(4000 + 100 * i), kSmall, 1.4);
  }
  EXPECT_GT(ShareOf(demand, 1), 0.6);
}

}  // namespace
}  // namespace gcw
