// Compares the router with simple baselines in both deployments, under load and
// faults.

#include <algorithm>
#include <functional>
#include <limits>
#include <string>
#include <vector>

#include "bench/bench_report.h"
#include "bench/parallel_runs.h"
#include "bench/routing_world.h"

namespace gcw::bench {
namespace {

constexpr const char* kRouterName = "router";

struct Deployment {
  std::string name;
  double inter_zone_millis;
  double client_millis;
};

const std::vector<Deployment> kDeployments = {{"oblak", 1.5, 1},
                                              {"harrowgate", 0.5, 3}};

std::vector<RoutingScenario> Scenarios() {
  std::vector<RoutingScenario> scenarios;
  for (const Deployment& deployment : kDeployments) {
    const auto add = [&](const std::string& name, double load,
                         RoutingFault fault) {
      scenarios.push_back({.name = deployment.name + "_" + name,
                           .inter_zone_millis = deployment.inter_zone_millis,
                           .client_millis = deployment.client_millis,
                           .load = load,
                           .fault = fault});
    };
    add("load70", 0.7, RoutingFault::kNone);
    add("load90", 0.9, RoutingFault::kNone);
    // This load exceeds the fleet's capacity without prefix affinity.
    add("load110", 1.1, RoutingFault::kNone);
    add("stragglers", 0.7, RoutingFault::kStragglers);
    add("event_gaps", 0.7, RoutingFault::kEventGaps);
    // The remaining engines carry 1.5 times their load while a zone is down.
    add("zone_lost", 0.5, RoutingFault::kZoneLost);
  }
  return scenarios;
}

// Figures of one policy in one scenario, over all seeds.
struct Series {
  std::vector<double> p50, p95, p99, hits, peaks, failed;

  void Add(const RoutingFigures& figures) {
    p50.push_back(figures.ttft_p50);
    p95.push_back(figures.ttft_p95);
    p99.push_back(figures.ttft_p99);
    hits.push_back(figures.hit_share * 100);
    peaks.push_back(figures.peak_over_mean);
    failed.push_back(figures.failed_share * 100);
  }
};

std::vector<NamedPolicy> Policies() {
  std::vector<NamedPolicy> policies = BaselinePolicies();
  policies.push_back(RouterPolicy(kRouterName));
  return policies;
}

std::vector<RoutingFigures> RunAllScenarios(
    const std::vector<RoutingScenario>& scenarios,
    const std::vector<NamedPolicy>& policies,
    const std::vector<std::uint64_t>& seeds) {
  std::vector<std::function<RoutingFigures()>> runs;
  for (const RoutingScenario& scenario : scenarios) {
    for (const NamedPolicy& policy : policies) {
      for (const std::uint64_t seed : seeds) {
        runs.emplace_back([&scenario, &policy, seed] {
          return RoutingWorld(scenario, policy.make, seed).Run();
        });
      }
    }
  }
  return RunAll(runs);
}

void Add(BenchReport& report,
         const std::string& scenario,
         const std::string& policy,
         const Series& series) {
  report.AddRow({scenario, policy, FormatSpread(SpreadOf(series.p50), 0),
                 FormatSpread(SpreadOf(series.p95), 0),
                 FormatSpread(SpreadOf(series.p99), 0),
                 FormatSpread(SpreadOf(series.hits), 1),
                 FormatSpread(SpreadOf(series.peaks), 2),
                 FormatSpread(SpreadOf(series.failed), 2)});
  const std::string prefix = scenario + "_" + policy;
  report.SetFigure(prefix + "_ttft_p95_ms", SpreadOf(series.p95).mean);
  report.SetFigure(prefix + "_hit_percent", SpreadOf(series.hits).mean);
}

int Run(int argc, char** argv) {
  const BenchOptions options = ParseBenchOptions(argc, argv);
  const std::vector<RoutingScenario> scenarios = Scenarios();
  const std::vector<NamedPolicy> policies = Policies();
  const std::vector<RoutingFigures> results =
      RunAllScenarios(scenarios, policies, options.seeds);
  BenchReport report("routing",
                     {"scenario", "policy", "TTFT p50 ms", "p95 ms", "p99 ms",
                      "prefix hits %", "peak/mean", "failed %"});
  auto next = results.begin();
  for (const RoutingScenario& scenario : scenarios) {
    double best_baseline = std::numeric_limits<double>::infinity();
    for (const NamedPolicy& policy : policies) {
      Series series;
      for (std::size_t i = 0; i < options.seeds.size(); ++i) {
        series.Add(*next++);
      }
      Add(report, scenario.name, policy.name, series);
      const double p95 = SpreadOf(series.p95).mean;
      if (policy.name == kRouterName) {
        report.SetFigure(scenario.name + "_p95_over_best_baseline",
                         p95 / best_baseline);
      }
      best_baseline = std::min(best_baseline, p95);
    }
  }
  return report.Finish(options);
}

}  // namespace
}  // namespace gcw::bench

int main(int argc, char** argv) {
  return gcw::bench::Run(argc, argv);
}
