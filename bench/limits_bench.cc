// Compares the accuracy and cost of three ways to enforce a contract's limits
// over all nodes, under skew and faults. Runs in virtual time. All figures are
// deterministic for a seed except the CPU time, which is only printed.

#include <algorithm>
#include <cstdint>
#include <future>
#include <string>
#include <vector>

#include "bench/bench_report.h"
#include "bench/limits_world.h"

namespace gcw::bench {
namespace {

struct Scenario {
  std::string name;
  LimitFault fault = LimitFault::kNone;
  // One in `nodes_per_caller` nodes receives calls.
  std::size_t nodes_per_caller = 1;
  // Offered load as a multiple of the limit.
  double offered = 1.5;
};

struct Fleet {
  std::size_t nodes = 8;
  std::size_t zones = 3;
  std::size_t other_contracts = 20;
  double other_rate = 5;
};

struct Policy {
  std::string name;
  LimitPolicy policy = LimitPolicy::kShares;
  bool relays = true;
};

constexpr double kLimitPerNode = 50;
constexpr std::size_t kSmallFleet = 32;
constexpr Micros kLargeFleetEnd = MicrosFromMillis(40000);
// Maximum number of the given seeds that are run for the large fleet.
constexpr std::size_t kLargeFleetSeeds = 2;

const std::vector<Scenario>& Scenarios() {
  static const std::vector<Scenario> scenarios{
      {"even"},
      {"skew", LimitFault::kNone, 8, 0.9},
      {"node lost", LimitFault::kNodeLost, 2, 0.9},
      {"owner lost", LimitFault::kOwnerLost, 1, 1.5},
      {"owner and store lost", LimitFault::kOwnerAndStoreLost, 1, 1.5},
      {"partition", LimitFault::kPartition, 1, 1.5},
      {"limit halved", LimitFault::kContractChanged, 1, 1.5}};
  return scenarios;
}

// Fewer scenarios are run for the large fleet because its runs are slow.
const std::vector<Scenario>& LargeScenarios() {
  static const std::vector<Scenario> scenarios{
      {"even"},
      {"skew", LimitFault::kNone, 8, 0.9},
      {"owner lost", LimitFault::kOwnerLost, 1, 1.5}};
  return scenarios;
}

LimitsWorldSettings SettingsFor(const Fleet& fleet,
                                const Policy& policy,
                                const Scenario& scenario) {
  LimitsWorldSettings settings;
  settings.policy = policy.policy;
  settings.relays = policy.relays;
  settings.fault = scenario.fault;
  settings.nodes = fleet.nodes;
  settings.zones = fleet.zones;
  settings.caller_nodes =
      std::max<std::size_t>(1, fleet.nodes / scenario.nodes_per_caller);
  settings.limit = kLimitPerNode * 8;
  settings.offered = scenario.offered * settings.limit;
  settings.other_contracts = fleet.other_contracts;
  settings.other_rate = fleet.other_rate;
  if (fleet.nodes > kSmallFleet) {
    settings.end = kLargeFleetEnd;
  }
  return settings;
}

class LimitsBench {
 public:
  explicit LimitsBench(BenchOptions options) : options_(std::move(options)) {}

  int Run() {
    const Fleet small;
    for (const Scenario& scenario : Scenarios()) {
      RunScenario(small, {"central", LimitPolicy::kCentral}, scenario);
      RunScenario(small, {"static", LimitPolicy::kStatic}, scenario);
      RunScenario(small, {"shares", LimitPolicy::kShares}, scenario);
    }
    // The other 100 contracts add 4,000 requests per second to those of the
    // measured contracts.
    const Fleet large{420, 5, 100, 40};
    for (const Scenario& scenario : LargeScenarios()) {
      RunScenario(large, {"shares", LimitPolicy::kShares}, scenario);
    }
    RunScenario(large, {"shares, no relays", LimitPolicy::kShares, false},
                Scenarios().front());
    RunScenario(large, {"central", LimitPolicy::kCentral}, Scenarios().front());
    return report_.Finish(options_);
  }

 private:
  using Field = double LimitsFigures::*;

  std::vector<std::uint64_t> SeedsFor(const Fleet& fleet) const {
    std::vector<std::uint64_t> seeds = options_.seeds;
    if (fleet.nodes > kSmallFleet && seeds.size() > kLargeFleetSeeds) {
      seeds.resize(kLargeFleetSeeds);
    }
    return seeds;
  }

  void RunScenario(const Fleet& fleet,
                   const Policy& policy,
                   const Scenario& scenario) {
    // Each seed has its own world, so threads affect no figure except the CPU
    // time.
    std::vector<std::future<LimitsFigures>> runs;
    for (const std::uint64_t seed : SeedsFor(fleet)) {
      runs.push_back(std::async(std::launch::async, [&, seed] {
        return LimitsWorld(SettingsFor(fleet, policy, scenario), seed).Run();
      }));
    }
    std::vector<LimitsFigures> results;
    results.reserve(runs.size());
    for (std::future<LimitsFigures>& run : runs) {
      results.push_back(run.get());
    }
    const auto spread = [&results](Field field) {
      std::vector<double> values;
      values.reserve(results.size());
      for (const LimitsFigures& figures : results) {
        values.push_back(figures.*field);
      }
      return SpreadOf(values);
    };
    const auto percent = [&spread](Field field) {
      const Spread s = spread(field);
      return FormatSpread({s.mean * 100, s.lowest * 100, s.highest * 100}, 1);
    };
    report_.AddRow(
        {std::to_string(fleet.nodes), policy.name, scenario.name,
         percent(&LimitsFigures::max_excess),
         percent(&LimitsFigures::mean_excess),
         percent(&LimitsFigures::max_concurrency_excess),
         percent(&LimitsFigures::under_use), percent(&LimitsFigures::pending),
         FormatNumber(spread(&LimitsFigures::messages).mean, 1),
         FormatNumber(spread(&LimitsFigures::bytes).mean, 0),
         FormatNumber(spread(&LimitsFigures::max_node_bytes).mean, 0),
         FormatNumber(spread(&LimitsFigures::max_node_cpu).mean * 100, 2)});
    if (policy.policy == LimitPolicy::kShares && policy.relays) {
      SetFigures(std::to_string(fleet.nodes) + "_" + scenario.name, spread);
    }
  }

  template <typename SpreadHook>
  void SetFigures(std::string name, const SpreadHook& spread) {
    std::replace(name.begin(), name.end(), ' ', '_');
    report_.SetFigure(name + "_over_worst",
                      spread(&LimitsFigures::max_excess).highest);
    report_.SetFigure(name + "_under_use",
                      spread(&LimitsFigures::under_use).mean);
    report_.SetFigure(name + "_bytes_worst_node",
                      spread(&LimitsFigures::max_node_bytes).highest);
  }

  BenchOptions options_;
  BenchReport report_{
      "limits",
      {"nodes", "policy", "scenario", "over worst %", "over mean %",
       "concurrency over %", "under-use %", "waited %", "messages/node/s",
       "bytes/node/s", "busiest node B/s", "busiest node CPU %"}};
};

}  // namespace
}  // namespace gcw::bench

int main(int argc, char** argv) {
  gcw::bench::LimitsBench bench(gcw::bench::ParseBenchOptions(argc, argv));
  return bench.Run();
}
