// Measures goodput, the extra work caused by retries and the recovery time when
// a third of the endpoints fails and comes back.

#include <functional>
#include <string>
#include <vector>

#include "bench/bench_report.h"
#include "bench/parallel_runs.h"
#include "bench/retry_world.h"

namespace gcw::bench {
namespace {

const std::vector<RetryScenario> kScenarios = {
    {.name = "fast_failures", .load = 0.9, .fail_after_millis = 10},
    {.name = "slow_failures", .load = 0.9, .fail_after_millis = 3000},
    {.name = "within_capacity", .load = 0.6, .fail_after_millis = 10}};

const std::vector<RetryPolicy> kPolicies = {
    {.name = "no_retries", .max_attempts = 1},
    {.name = "unbounded", .max_attempts = 10},
    {.name = "deadlines_only", .max_attempts = 10, .passes_deadlines = true},
    {.name = "goldcrestweir",
     .max_attempts = 3,
     .has_budget = true,
     .passes_deadlines = true,
     .plans_retry_after = true}};

Spread SpreadOfField(const std::vector<RetryFigures>& runs,
                     double RetryFigures::*figure,
                     double scale) {
  std::vector<double> values;
  values.reserve(runs.size());
  for (const RetryFigures& run : runs) {
    values.push_back(run.*figure * scale);
  }
  return SpreadOf(values);
}

void AddResults(BenchReport& report,
                const std::string& scenario,
                const std::string& policy,
                const std::vector<RetryFigures>& runs) {
  const Spread before = SpreadOfField(runs, &RetryFigures::goodput_before, 100);
  const Spread during = SpreadOfField(runs, &RetryFigures::goodput_during, 100);
  const Spread after = SpreadOfField(runs, &RetryFigures::goodput_after, 100);
  const Spread answered =
      SpreadOfField(runs, &RetryFigures::answered_eventually, 100);
  const Spread attempts =
      SpreadOfField(runs, &RetryFigures::attempts_per_call, 1);
  const Spread wasted = SpreadOfField(runs, &RetryFigures::wasted_share, 100);
  const Spread recovery =
      SpreadOfField(runs, &RetryFigures::recovery_seconds, 1);
  report.AddRow({scenario, policy, FormatSpread(before, 1),
                 FormatSpread(during, 1), FormatSpread(after, 1),
                 FormatSpread(answered, 1), FormatSpread(attempts, 2),
                 FormatSpread(wasted, 1), FormatSpread(recovery, 1)});
  const std::string prefix = scenario + "_" + policy;
  report.SetFigure(prefix + "_goodput_during_percent", during.mean);
  report.SetFigure(prefix + "_goodput_after_percent", after.mean);
  report.SetFigure(prefix + "_attempts_per_call", attempts.mean);
  report.SetFigure(prefix + "_seconds_to_normal", recovery.mean);
}

int Run(int argc, char** argv) {
  const BenchOptions options = ParseBenchOptions(argc, argv);
  std::vector<std::function<RetryFigures()>> jobs;
  for (const RetryScenario& scenario : kScenarios) {
    for (const RetryPolicy& policy : kPolicies) {
      for (const std::uint64_t seed : options.seeds) {
        jobs.emplace_back([&scenario, &policy, seed] {
          return RetryWorld(scenario, policy, seed).Run();
        });
      }
    }
  }
  const std::vector<RetryFigures> results = RunAll(jobs);
  BenchReport report(
      "retry", {"scenario", "way", "goodput before %", "during %", "after %",
                "answered in the end %", "attempts/call", "wasted tokens %",
                "s to normal"});
  auto next = results.begin();
  const auto seeds = static_cast<std::ptrdiff_t>(options.seeds.size());
  for (const RetryScenario& scenario : kScenarios) {
    for (const RetryPolicy& policy : kPolicies) {
      AddResults(report, scenario.name, policy.name, {next, next + seeds});
      next += seeds;
    }
  }
  return report.Finish(options);
}

}  // namespace
}  // namespace gcw::bench

int main(int argc, char** argv) {
  return gcw::bench::Run(argc, argv);
}
