// Routing against plain baselines, in both deployments, under load and faults.

#include <string>
#include <vector>

#include "bench/bench_report.h"
#include "bench/routing_world.h"

namespace gcw::bench {
namespace {

struct Deployment {
  std::string name;
  double between_zones_millis;
  double client_millis;
};

const std::vector<Deployment> kDeployments = {{"oblak", 1.5, 1},
                                              {"harrowgate", 0.5, 3}};

std::vector<RoutingScenario> Scenarios() {
  std::vector<RoutingScenario> scenarios;
  for (const Deployment& deployment : kDeployments) {
    const auto add = [&](const std::string& name, double load,
                         RoutingFault fault) {
      scenarios.push_back(
          {.name = deployment.name + "_" + name,
           .between_zones_millis = deployment.between_zones_millis,
           .client_millis = deployment.client_millis,
           .load = load,
           .fault = fault});
    };
    add("load70", 0.7, RoutingFault::kNone);
    add("load90", 0.9, RoutingFault::kNone);
    add("stragglers", 0.7, RoutingFault::kStragglers);
    add("event_gaps", 0.7, RoutingFault::kEventGaps);
    // The rest carries three halves of its load while a zone is away.
    add("zone_lost", 0.5, RoutingFault::kZoneLost);
  }
  return scenarios;
}

// The figures of one policy in one scenario, over all seeds.
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

Series RunSeeds(const RoutingScenario& scenario,
                const NamedPolicy& policy,
                const std::vector<std::uint64_t>& seeds) {
  Series series;
  for (const std::uint64_t seed : seeds) {
    series.Add(RoutingWorld(scenario, policy.make, seed).Run());
  }
  return series;
}

std::vector<NamedPolicy> Policies() {
  std::vector<NamedPolicy> policies = BaselinePolicies();
  policies.push_back(RouterPolicy("router"));
  return policies;
}

int Run(int argc, char** argv) {
  const BenchOptions options = ParseBenchOptions(argc, argv);
  BenchReport report("routing",
                     {"scenario", "policy", "TTFT p50 ms", "p95 ms", "p99 ms",
                      "prefix hits %", "peak/mean", "failed %"});
  for (const RoutingScenario& scenario : Scenarios()) {
    double best_baseline = 0;
    for (const NamedPolicy& policy : Policies()) {
      const Series series = RunSeeds(scenario, policy, options.seeds);
      const double p95 = SpreadOf(series.p95).mean;
      report.AddRow({scenario.name, policy.name,
                     FormatSpread(SpreadOf(series.p50), 0),
                     FormatSpread(SpreadOf(series.p95), 0),
                     FormatSpread(SpreadOf(series.p99), 0),
                     FormatSpread(SpreadOf(series.hits), 1),
                     FormatSpread(SpreadOf(series.peaks), 2),
                     FormatSpread(SpreadOf(series.failed), 2)});
      const std::string prefix = scenario.name + "_" + policy.name;
      report.SetFigure(prefix + "_ttft_p95_ms", p95);
      report.SetFigure(prefix + "_hit_percent", SpreadOf(series.hits).mean);
      if (policy.name == "router") {
        report.SetFigure(scenario.name + "_p95_over_best_baseline",
                         p95 / best_baseline);
      } else if (best_baseline == 0 || p95 < best_baseline) {
        best_baseline = p95;
      }
    }
  }
  return report.Finish(options);
}

}  // namespace
}  // namespace gcw::bench

int main(int argc, char** argv) {
  return gcw::bench::Run(argc, argv);
}
