#include "transport/metrics.h"

#include <cmath>
#include <limits>
#include <thread>

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace gcw {
namespace {

using testing::HasSubstr;
using testing::Not;

TEST(MetricsTest, ExposesEachKindInTheTextFormat) {
  Metrics metrics;
  metrics
      .AddCounter({"gcw_requests_total",
                   "All \"requests\".\nSo far.",
                   {"contract", "outcome"}})
      .With({"c\"1\\", "ok\n"})
      .Add(3);
  metrics.AddGauge({"gcw_queue_length", "Waiting.", {}}).With({}).Set(-2);
  const std::string text = metrics.Expose();
  EXPECT_THAT(text, HasSubstr("# HELP gcw_requests_total All \"requests\"."
                              "\\nSo far.\n"
                              "# TYPE gcw_requests_total counter\n"
                              "gcw_requests_total{contract=\"c\\\"1\\\\\","
                              "outcome=\"ok\\n\"} 3\n"));
  EXPECT_THAT(text, HasSubstr("# TYPE gcw_queue_length gauge\n"
                              "gcw_queue_length -2\n"));
}

TEST(MetricsTest, DistributionsAreCumulative) {
  Metrics metrics;
  Distribution& ttft =
      metrics.AddDistribution({"gcw_ttft_ms", "TTFT.", {}}, {1, 100, 2})
          .With({});
  for (const double value : {-1.0, 0.0, 5.0, 50.0, 1000.0}) {
    ttft.Record(value);
  }
  ttft.Record(std::numeric_limits<double>::quiet_NaN());
  ttft.Record(std::numeric_limits<double>::infinity());
  const auto buckets = ttft.buckets();
  ASSERT_EQ(buckets.size(), 4U);
  EXPECT_EQ(buckets[0].count, 2U);
  EXPECT_NEAR(buckets[1].upper_bound, 10, 1e-9);
  const std::string text = metrics.Expose();
  EXPECT_THAT(text, HasSubstr("gcw_ttft_ms_bucket{le=\"1\"} 2\n"));
  EXPECT_THAT(text, HasSubstr("gcw_ttft_ms_bucket{le=\"+Inf\"} 5\n"
                              "gcw_ttft_ms_sum 1055\ngcw_ttft_ms_count 5\n"));
}

// Guards against unlimited memory growth. Callers choose label values such as
// model names, and a caller that sends a new name with each request would add a
// label set for each refusal.
TEST(MetricsTest, LabelSetsBeyondTheLimitShareOneSeries) {
  Metrics metrics;
  CounterFamily& family =
      metrics.AddCounter({"gcw_refused_total", "Refused.", {"model"}, 2});
  for (int model = 0; model < 100; ++model) {
    family.With({"model-" + std::to_string(model)}).Add();
  }
  family.With({"model-1"}).Add();
  const std::string text = metrics.Expose();
  EXPECT_THAT(text, HasSubstr("gcw_refused_total{model=\"model-1\"} 2\n"));
  EXPECT_THAT(text, HasSubstr("gcw_refused_total{model=\"other\"} 98\n"));
  EXPECT_THAT(text, Not(HasSubstr("model-2\"")));
  EXPECT_THAT(text, HasSubstr("gcw_metrics_label_overflow_total"
                              "{metric=\"gcw_refused_total\"} 98\n"));
}

TEST(MetricsTest, ThreadsLoseNoCounts) {
  constexpr int kRounds = 2000;
  Metrics metrics;
  CounterFamily& counters = metrics.AddCounter({"gcw_total", "All.", {"kind"}});
  Distribution& waits =
      metrics.AddDistribution({"gcw_wait_ms", "Wait.", {}}, {}).With({});
  const auto work = [&] {
    for (int round = 0; round < kRounds; ++round) {
      counters.With({std::to_string(round % 3)}).Add();
      waits.Record(1);
    }
  };
  std::thread other(work);
  work();
  const std::string during = metrics.Expose();
  other.join();
  EXPECT_EQ(waits.sum(), 2.0 * kRounds);
  EXPECT_THAT(metrics.Expose(),
              HasSubstr("gcw_wait_ms_count " + std::to_string(2 * kRounds)));
}

TEST(MetricsDeathTest, RefusesInvalidAndDuplicateNames) {
  GTEST_FLAG_SET(death_test_style, "threadsafe");
  Metrics metrics;
  metrics.AddGauge({"gcw_a", "A.", {}});
  EXPECT_DEATH(metrics.AddGauge({"gcw_a", "A.", {}}), "added twice");
  EXPECT_DEATH(metrics.AddGauge({"gcw a", "A.", {}}), "not a metric's name");
}

}  // namespace
}  // namespace gcw
