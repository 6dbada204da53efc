#include <cmath>
#include <map>
#include <vector>

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "programs/gcw_load/arrival_plan.h"
#include "programs/gcw_load/entry_selector.h"
#include "programs/gcw_load/load_command_line.h"
#include "programs/gcw_load/prompt_maker.h"

namespace gcw {
namespace {

using std::chrono::seconds;

std::vector<Arrival> AllOf(ArrivalPlan::Settings settings, std::uint64_t seed) {
  ArrivalPlan plan(settings, SeededRandom(seed));
  std::vector<Arrival> arrivals;
  while (const auto arrival = plan.Next()) {
    arrivals.push_back(*arrival);
  }
  return arrivals;
}

TEST(ArrivalPlanTest, EachKindArrivesAtItsRate) {
  const std::vector<Arrival> arrivals = AllOf({.paid_rate = 100,
                                               .trial_rate = 200,
                                               .reservation_rate = 50,
                                               .whole_share = 0.25,
                                               .length = seconds(100)},
                                              7);
  std::map<RequestKind, double> counts;
  std::chrono::microseconds last = {};
  for (const Arrival& arrival : arrivals) {
    ++counts[arrival.kind];
    EXPECT_GE(arrival.at, last);
    last = arrival.at;
  }
  EXPECT_LT(last, seconds(100));
  // The tolerance is five standard deviations of a Poisson distribution.
  const auto near = [](double mean) {
    return testing::DoubleNear(mean, 5 * std::sqrt(mean));
  };
  EXPECT_THAT(counts[RequestKind::kPaidStream], near(7500));
  EXPECT_THAT(counts[RequestKind::kPaidWhole], near(2500));
  EXPECT_THAT(counts[RequestKind::kTrialStream], near(15000));
  EXPECT_THAT(counts[RequestKind::kTrialWhole], near(5000));
  EXPECT_THAT(counts[RequestKind::kReservation], near(5000));
}

TEST(ArrivalPlanTest, DependsOnTheSeedAlone) {
  const ArrivalPlan::Settings settings{.paid_rate = 50, .length = seconds(10)};
  const auto first = AllOf(settings, 1);
  const auto again = AllOf(settings, 1);
  ASSERT_EQ(first.size(), again.size());
  for (std::size_t i = 0; i < first.size(); ++i) {
    EXPECT_EQ(first[i].at, again[i].at);
  }
  EXPECT_NE(AllOf(settings, 2).front().at, first.front().at);
}

TEST(ArrivalPlanTest, EndsAtTinyAndZeroRates) {
  EXPECT_TRUE(AllOf({.length = seconds(10)}, 1).empty());
  EXPECT_TRUE(AllOf({.paid_rate = 1e-300, .length = seconds(10)}, 1).empty());
}

TEST(PromptMakerTest, SharesThePrefixAndNothingElse) {
  const PromptMaker maker(
      {.bytes = 300, .shared_prefix_bytes = 128, .run = "run"});
  const std::string first = maker.Make(1);
  const std::string second = maker.Make(2);
  EXPECT_EQ(first.size(), 300U);
  EXPECT_EQ(first.substr(0, 128), second.substr(0, 128));
  EXPECT_NE(first, second);
  const PromptMaker small({.bytes = 1, .run = "run"});
  EXPECT_NE(small.Make(1), small.Make(2));
}

Time At(std::int64_t millis) {
  return Time::FromMillis(millis);
}

TEST(EntrySelectorTest, ChoosesUntriedAddressByWeight) {
  EntrySelector book(SeededRandom(3));
  EXPECT_EQ(book.Choose({}), std::nullopt);
  book.Replace(At(0),
               {{{Address("a"), 3}, {Address("b"), 1}, {Address("c"), 0}},
                Duration::Seconds(2)});
  std::map<std::string, double> counts;
  for (int i = 0; i < 4000; ++i) {
    ++counts[book.Choose({})->value()];
  }
  EXPECT_NEAR(counts["a"], 3000, 150);
  EXPECT_NEAR(counts["b"], 1000, 150);
  EXPECT_EQ(counts["c"], 0);
  EXPECT_EQ(book.Choose({Address("a")}), Address("b"));
  EXPECT_EQ(book.Choose({Address("a"), Address("b")}), Address("c"));
  EXPECT_EQ(book.Choose({Address("a"), Address("b"), Address("c")}),
            std::nullopt);
}

TEST(EntrySelectorTest, ListsExpireAndEmptyListsKeepEntries) {
  EntrySelector book(SeededRandom(3));
  book.Replace(At(1000), {{{Address("a"), 1}}, Duration::Seconds(2)});
  EXPECT_EQ(book.renew_at(), At(3000));
  book.Replace(At(3000), {{}, Duration()});
  EXPECT_GT(book.renew_at(), At(3000));
  EXPECT_EQ(book.Choose({}), Address("a"));
  book.Replace(At(4000), {{{Address("b"), 1}}, Duration::Seconds(2)});
  EXPECT_EQ(book.Choose({}), Address("b"));
}

TEST(EntryListTest, DecodesNodeFormat) {
  const auto list = DecodeEntryList(
      R"({"entries":[{"address":"127.0.0.1:1","zone":"z","region":"r",)"
      R"("weight":0.5}],"keep_ms":2000})");
  ASSERT_TRUE(IsOk(list));
  EXPECT_EQ(ValueOf(list).entries.front().address, Address("127.0.0.1:1"));
  EXPECT_EQ(ValueOf(list).entries.front().weight, 0.5);
  EXPECT_EQ(ValueOf(list).ttl, Duration::Seconds(2));
  EXPECT_FALSE(IsOk(DecodeEntryList(
      R"({"entries":[{"address":"a","weight":-1}],"keep_ms":1})")));
}

LoadExitCode ExitOf(const std::vector<std::string>& arguments) {
  const auto read = ReadLoadCommandLine(arguments);
  return std::holds_alternative<LoadExitCode>(read)
             ? std::get<LoadExitCode>(read)
             : LoadExitCode::kDone;
}

TEST(LoadCommandLineTest, RejectsInvalidArguments) {
  const std::vector<std::string> valid_arguments{
      "--direct", "127.0.0.1:1", "--paid-per-s", "5", "--model", "notes"};
  EXPECT_EQ(ExitOf(valid_arguments), LoadExitCode::kDone);
  const std::vector<std::vector<std::string>> faults{
      {"--entries", "127.0.0.1:2"},
      {"--whole-share", "1.5"},
      {"--seconds", "nan"},
      {"--key-file", "paid"},
      {"--key-file", "other=x"},
      {"--threads", "0"},
      {"--unknown"}};
  for (const std::vector<std::string>& fault : faults) {
    std::vector<std::string> arguments = valid_arguments;
    arguments.insert(arguments.end(), fault.begin(), fault.end());
    EXPECT_EQ(ExitOf(arguments), LoadExitCode::kUsage) << fault.front();
  }
  EXPECT_EQ(ExitOf({"--entries", "127.0.0.1:1", "--paid-per-s", "5", "--model",
                    "notes"}),
            LoadExitCode::kUsage);
  EXPECT_EQ(ExitOf({"--direct", "127.0.0.1:1", "--model", "notes"}),
            LoadExitCode::kUsage);
}

}  // namespace
}  // namespace gcw
