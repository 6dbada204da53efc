// Measures paid latency with and without trial load, and how much of the
// capacity left by paid work is used by trial work. Runs in virtual time and is
// deterministic for a seed.

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "bench/bench_report.h"
#include "bench/tier_world.h"

namespace gcw::bench {
namespace {

constexpr Micros kWarmUp = MicrosFromMillis(10000);
constexpr Micros kLossAt = MicrosFromMillis(40000);
constexpr Micros kEnd = MicrosFromMillis(130000);
constexpr double kPaidPerSecond = 80;
// This rate exceeds the capacity of all endpoints.
constexpr double kSaturatingPerSecond = 400;
// A third of the endpoints.
constexpr std::size_t kLostEndpoints = 8;

struct Scenario {
  std::string name;
  TierPolicy policy = TierPolicy::kPools;
  std::int64_t trial_cap = 0;
  double burst_factor = 1;
  std::size_t lost = 0;
  // Offered trial load as a multiple of the capacity left by paid work.
  double trial_load = 0;
  // Additional requests per second of the first team; unset if the scenario has
  // no flood.
  std::optional<double> flood_per_second = std::nullopt;
};

TierWorldSettings SettingsFor(const Scenario& scenario) {
  TierWorldSettings settings;
  settings.policy = scenario.policy;
  settings.trial_cap = scenario.trial_cap;
  settings.burst_factor = scenario.burst_factor;
  settings.lost_endpoints = scenario.lost;
  settings.paid_per_second = kPaidPerSecond;
  settings.flood_per_second = scenario.flood_per_second.value_or(0);
  settings.warm_up = kWarmUp;
  settings.loss_at = kLossAt;
  settings.end = kEnd;
  return settings;
}

double TokensPerSecond(const TierWorld& world, const TierOutcome& outcome) {
  return static_cast<double>(outcome.tokens) / world.measured_seconds();
}

double ShareOf(std::int64_t part, std::int64_t whole) {
  return whole == 0 ? 1
                    : static_cast<double>(part) / static_cast<double>(whole);
}

// Returns the token rate of the endpoints under a saturating load.
double SaturatedTokensPerSecond(std::uint64_t seed) {
  TierWorldSettings settings =
      SettingsFor({.name = "saturated", .policy = TierPolicy::kPriority});
  settings.paid_per_second = kSaturatingPerSecond;
  // The warm-up is skipped: only requests that arrive after it are counted, and
  // under saturation these would still be queued.
  settings.warm_up = 0;
  TierWorld world(settings, seed);
  world.Run();
  return TokensPerSecond(world, world.paid());
}

struct Result {
  double ttft50 = 0;
  double ttft95 = 0;
  double ttft99 = 0;
  double gap50 = 0;
  double gap95 = 0;
  double gap99 = 0;
  double paid_answered = 0;
  double paid_refused = 0;
  double trial_of_room = 0;
  double trial_wasted = 0;
  double trial_answered = 0;
  double others_ttft95 = 0;
  double others_answered = 0;
};

// Fills in the figures of all teams except the flooding one.
void FillOthers(const TierWorld& world, Result& result) {
  TierOutcome others;
  for (std::size_t team = 1; team < TierWorld::kTeams; ++team) {
    const TierOutcome& outcome = world.team(team);
    others.ttft_millis.insert(others.ttft_millis.end(),
                              outcome.ttft_millis.begin(),
                              outcome.ttft_millis.end());
    others.offered += outcome.offered;
    others.refused += outcome.refused;
  }
  result.others_ttft95 = others.TtftQuantile(0.95);
  result.others_answered = 1 - ShareOf(others.refused, others.offered);
}

Result RunOnce(const Scenario& scenario,
               std::uint64_t seed,
               double saturated,
               double tokens_per_request) {
  TierWorldSettings settings = SettingsFor(scenario);
  const double paid_tokens = kPaidPerSecond * tokens_per_request;
  const double lost = static_cast<double>(scenario.lost) /
                      static_cast<double>(settings.endpoints);
  const double lost_time =
      static_cast<double>(kEnd - kLossAt) / static_cast<double>(kEnd - kWarmUp);
  const double spare_rate = saturated * (1 - lost * lost_time) - paid_tokens;
  settings.trial_per_second = scenario.trial_load *
                              (saturated * (1 - lost) - paid_tokens) /
                              tokens_per_request;
  TierWorld world(settings, seed);
  world.Run();
  const TierOutcome& paid = world.paid();
  const TierOutcome& trial = world.trial();
  Result result{
      .ttft50 = paid.TtftQuantile(0.5),
      .ttft95 = paid.TtftQuantile(0.95),
      .ttft99 = paid.TtftQuantile(0.99),
      .gap50 = paid.GapQuantile(0.5),
      .gap95 = paid.GapQuantile(0.95),
      .gap99 = paid.GapQuantile(0.99),
      // Requests still running at the end are not counted.
      .paid_answered =
          ShareOf(paid.answered, paid.answered + paid.refused + paid.failed),
      .paid_refused = ShareOf(paid.refused, paid.offered),
      .trial_of_room = TokensPerSecond(world, trial) / spare_rate,
      .trial_wasted =
          ShareOf(trial.wasted_tokens, std::max<std::int64_t>(1, trial.tokens)),
      .trial_answered = ShareOf(trial.answered, trial.offered)};
  FillOthers(world, result);
  return result;
}

std::vector<Scenario> Scenarios() {
  std::vector<Scenario> scenarios;
  for (const double load : {0.0, 1.0, 10.0}) {
    scenarios.push_back({.name = "priority only",
                         .policy = TierPolicy::kPriority,
                         .trial_load = load});
  }
  for (const std::int64_t cap : {1, 4}) {
    scenarios.push_back({.name = "cap " + std::to_string(cap) + " a batch",
                         .policy = TierPolicy::kCapped,
                         .trial_cap = cap,
                         .trial_load = 1});
  }
  for (const double burst : {1.0, 2.0}) {
    for (const std::size_t lost : {std::size_t{0}, kLostEndpoints}) {
      for (const double load : {0.0, 1.0, 3.0, 10.0}) {
        scenarios.push_back({.name = std::string("pools ") +
                                     (burst > 1 ? "bursts" : "steady") +
                                     (lost > 0 ? " third lost" : ""),
                             .burst_factor = burst,
                             .lost = lost,
                             .trial_load = load});
      }
    }
  }
  for (const double flood : {0.0, 100.0, 400.0}) {
    scenarios.push_back({.name = "flood " + FormatNumber(flood, 0) + "/s",
                         .trial_load = 1,
                         .flood_per_second = flood});
  }
  return scenarios;
}

class TiersBench {
 public:
  explicit TiersBench(BenchOptions options) : options_(std::move(options)) {
    for (const std::uint64_t seed : options_.seeds) {
      saturated_.push_back(SaturatedTokensPerSecond(seed));
      TierWorld world(SettingsFor({.name = "sizes"}), seed);
      world.Run();
      tokens_per_request_.push_back(TokensPerSecond(world, world.paid()) /
                                    kPaidPerSecond);
    }
  }

  int Run() {
    for (const Scenario& scenario : Scenarios()) {
      RunScenario(scenario);
    }
    report_.SetFigure("paid_ttft_p95_ratio_worst", max_ttft_ratio_);
    report_.SetFigure("paid_gap_p95_ratio_worst", max_gap_ratio_);
    return report_.Finish(options_);
  }

 private:
  using Field = double Result::*;

  static Spread SpreadOfField(const std::vector<Result>& results, Field field) {
    std::vector<double> values;
    values.reserve(results.size());
    for (const Result& result : results) {
      values.push_back(result.*field);
    }
    return SpreadOf(values);
  }

  // Returns the ratio of each seed's value to the value of the same seed
  // without trial load.
  Spread RatioToBase(const std::vector<Result>& results, Field field) const {
    std::vector<double> values;
    for (std::size_t i = 0; i < results.size(); ++i) {
      values.push_back(results[i].*field / (baseline_[i].*field));
    }
    return SpreadOf(values);
  }

  void RunScenario(const Scenario& scenario) {
    std::vector<Result> results;
    for (std::size_t i = 0; i < options_.seeds.size(); ++i) {
      results.push_back(RunOnce(scenario, options_.seeds[i], saturated_[i],
                                tokens_per_request_[i]));
    }
    if (scenario.trial_load == 0) {
      baseline_ = results;
    }
    AddRow(scenario, results);
    SetFigures(scenario, results);
  }

  void AddRow(const Scenario& scenario, const std::vector<Result>& results) {
    const auto cell = [&](Field field, int decimals) {
      return FormatSpread(SpreadOfField(results, field), decimals);
    };
    const auto mean = [&](Field field, int decimals) {
      return FormatNumber(SpreadOfField(results, field).mean, decimals);
    };
    const auto ratio = [&](Field field) {
      return scenario.flood_per_second
                 ? std::string("-")
                 : FormatSpread(RatioToBase(results, field), 3);
    };
    report_.AddRow(
        {scenario.name, FormatNumber(scenario.trial_load, 0),
         mean(&Result::ttft50, 0) + " / " + cell(&Result::ttft95, 0) + " / " +
             mean(&Result::ttft99, 0),
         ratio(&Result::ttft95),
         mean(&Result::gap50, 1) + " / " + cell(&Result::gap95, 1) + " / " +
             mean(&Result::gap99, 1),
         ratio(&Result::gap95), mean(&Result::paid_answered, 4),
         mean(&Result::paid_refused, 4), cell(&Result::trial_of_room, 2),
         mean(&Result::trial_wasted, 3), mean(&Result::trial_answered, 3),
         mean(&Result::others_ttft95, 0), mean(&Result::others_answered, 4)});
  }

  void SetFigures(const Scenario& scenario,
                  const std::vector<Result>& results) {
    if (scenario.policy != TierPolicy::kPools) {
      return;
    }
    if (scenario.flood_per_second) {
      const std::string flood = FormatNumber(*scenario.flood_per_second, 0);
      report_.SetFigure("others_answered_" + flood,
                        SpreadOfField(results, &Result::others_answered).mean);
      report_.SetFigure("others_ttft_p95_" + flood,
                        SpreadOfField(results, &Result::others_ttft95).mean);
      return;
    }
    max_ttft_ratio_ =
        std::max(max_ttft_ratio_, RatioToBase(results, &Result::ttft95).mean);
    max_gap_ratio_ =
        std::max(max_gap_ratio_, RatioToBase(results, &Result::gap95).mean);
    if (scenario.trial_load > 0) {
      std::string name = scenario.name + "_trial_of_room_" +
                         FormatNumber(scenario.trial_load, 0);
      std::replace(name.begin(), name.end(), ' ', '_');
      report_.SetFigure(name,
                        SpreadOfField(results, &Result::trial_of_room).mean);
    }
  }

  BenchOptions options_;
  std::vector<double> saturated_;
  std::vector<double> tokens_per_request_;
  // Results of the last scenario without trial load.
  std::vector<Result> baseline_;
  double max_ttft_ratio_ = 0;
  double max_gap_ratio_ = 0;
  BenchReport report_{
      "tiers",
      {"policy", "trial load", "paid TTFT p50/p95/p99 ms", "p95 to no trial",
       "paid gap p50/p95/p99 ms", "p95 to no trial", "paid answered",
       "paid refused", "trial tokens of room", "wasted", "trial answered",
       "other teams TTFT p95", "other teams answered"}};
};

}  // namespace
}  // namespace gcw::bench

int main(int argc, char** argv) {
  gcw::bench::TiersBench bench(gcw::bench::ParseBenchOptions(argc, argv));
  return bench.Run();
}
