#include <sstream>

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "programs/gcw_load/load_report.h"
#include "protocol/protocol.h"

namespace gcw {
namespace {

using std::chrono::milliseconds;
using testing::HasSubstr;

TEST(LatencyHistogramTest, QuantilesAreExactToABin) {
  LatencyHistogram histogram;
  EXPECT_EQ(histogram.Quantile(0.5), std::nullopt);
  for (int i = 1; i <= 1000; ++i) {
    histogram.Add(milliseconds(i));
  }
  EXPECT_NEAR(*histogram.Quantile(0.5), 500, 500 * 0.024);
  EXPECT_NEAR(*histogram.Quantile(0.99), 990, 990 * 0.024);
  EXPECT_LE(*histogram.Quantile(1), 1000);
  EXPECT_EQ(histogram.max_millis(), 1000);
}

TEST(LatencyHistogramTest, CountsOutOfRangeLatencies) {
  LatencyHistogram histogram;
  histogram.Add(std::chrono::microseconds(0));
  histogram.Add(std::chrono::hours(1));
  EXPECT_EQ(histogram.count(), 2);
  EXPECT_EQ(*histogram.Quantile(0.5), 0.01);
  EXPECT_EQ(*histogram.Quantile(1), 3600e3);
}

TEST(LoadReportTest, ReportsOutcomesByType) {
  LoadTally tally;
  KindTally& trial = tally.of(RequestKind::kTrialStream);
  trial.sent = 5;
  trial.answered = 1;
  trial.refused = {{"queue_full", 2}, {"trial_no_headroom", 1}};
  trial.violations = {{"foreign_text", 1}};
  trial.first_token.Add(milliseconds(20));
  tally.of(RequestKind::kReservation).sent = 2;
  KeyLedger keys;
  keys.Add("a-1", KeyOutcome::kReplayed);
  keys.Add("a-2", KeyOutcome::kUnknown);

  std::ostringstream table;
  WriteLoadTable(tally, keys, table);
  EXPECT_THAT(table.str(), HasSubstr("trial stream, refused: queue_full 2 "
                                     "trial_no_headroom 1\n"));
  EXPECT_THAT(table.str(),
              HasSubstr("trial stream, VIOLATIONS: foreign_text 1\n"));
  EXPECT_THAT(table.str(), HasSubstr("answered 0 replayed 1 refused 0 "
                                     "unknown 1 violation 0\n"));
  EXPECT_THAT(table.str(), testing::Not(HasSubstr("paid")));

  const boost::json::value json =
      boost::json::parse(EncodeLoadResult(tally, keys));
  EXPECT_EQ(json.at("violations").as_int64(), 1);
  const boost::json::value& kind = json.at("kinds").at("trial_stream");
  EXPECT_EQ(kind.at("refused").at("queue_full").as_int64(), 2);
  EXPECT_NEAR(kind.at("first_token_ms").at("p50").as_double(), 20, 0.5);
  EXPECT_EQ(json.at("reservation_keys").at("replayed").as_int64(), 1);

  std::ostringstream lines;
  keys.Write(lines);
  EXPECT_EQ(lines.str(), "a-1 replayed\na-2 unknown\n");
}

}  // namespace
}  // namespace gcw
