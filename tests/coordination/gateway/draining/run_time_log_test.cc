#include <gtest/gtest.h>

#include "coordination/coordination.h"

namespace gcw {
namespace {

const ServiceId kService("s");
const ModelId kModel("m");

TEST(RunTimeLogTest, KeepsTheLongestTimeOfTwoPeriods) {
  RunTimeLog log(RunTimeLogSettings{Duration::Seconds(10)});
  EXPECT_FALSE(log.Longest(kService, kModel));
  log.OnFinished(Time::FromMillis(100000), kService, kModel,
                 Duration::Seconds(4));
  log.OnFinished(Time::FromMillis(100500), kService, kModel,
                 Duration::Seconds(1));
  EXPECT_EQ(log.Longest(kService, kModel), Duration::Seconds(4));
  EXPECT_FALSE(log.Longest(kService, ModelId()));
  log.OnFinished(Time::FromMillis(111000), kService, kModel,
                 Duration::Seconds(2));
  EXPECT_EQ(log.Longest(kService, kModel), Duration::Seconds(4));
  log.OnFinished(Time::FromMillis(122000), kService, kModel,
                 Duration::Seconds(1));
  EXPECT_EQ(log.Longest(kService, kModel), Duration::Seconds(2));
}

}  // namespace
}  // namespace gcw
