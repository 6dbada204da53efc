// Measures in virtual time the calls of a fleet of gateways to the key-value
// service against the number of nodes: when idle, while registrations change,
// and while the service is unreachable or refuses calls.

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "bench/bench_report.h"
#include "tests/support/gateway_world.h"

namespace gcw::bench {
namespace {

constexpr Duration kWarmUp = Duration::Seconds(20);
constexpr Duration kSpan = Duration::Seconds(30);
// Time between two changed registrations under `Load::kChanges`.
constexpr Duration kChangeInterval = Duration::Millis(100);
constexpr std::size_t kDomains = 2;
constexpr std::size_t kVmsPerDomain = 10;

const std::vector<std::size_t> kFleets = {8, 24, 72};

enum class Load { kIdle, kChanges, kAway, kRefuses, kRefusesSome };

struct Figure {
  // A lease renewal costs a tenth of any other call.
  double calls_per_node_second = 0;
  double renewals_per_node_second = 0;
  // Rate of the node that made the most calls.
  double max_calls_per_second = 0;
};

void SetUp(GatewayWorld& world, Load load) {
  world.store_down = load == Load::kAway;
  for (std::size_t i = 0; i < world.node_count(); ++i) {
    const bool refused =
        load == Load::kRefuses || (load == Load::kRefusesSome && i % 2 == 1);
    world.node(i).store_rejects = refused;
  }
}

void RunSpan(GatewayWorld& world, Load load) {
  if (load == Load::kIdle) {
    world.Run(kSpan);
    return;
  }
  for (Duration played; played < kSpan; played = played + kChangeInterval) {
    world.RewriteRegistration(world.engines().begin()->first);
    world.Run(kChangeInterval);
  }
}

Figure Measure(std::size_t nodes, Load load, std::uint64_t seed) {
  GatewayWorld world(nodes, kDomains, kVmsPerDomain, seed);
  world.Run(kWarmUp);
  SetUp(world, load);
  std::vector<std::int64_t> before;
  std::int64_t renewals = 0;
  for (std::size_t i = 0; i < nodes; ++i) {
    before.push_back(world.node(i).store_calls);
    renewals -= world.node(i).store_renewals;
  }
  RunSpan(world, load);
  const double seconds = static_cast<double>(kSpan.millis()) / 1000;
  Figure figure;
  for (std::size_t i = 0; i < nodes; ++i) {
    const double calls =
        static_cast<double>(world.node(i).store_calls - before[i]) / seconds;
    figure.calls_per_node_second += calls / static_cast<double>(nodes);
    figure.max_calls_per_second = std::max(figure.max_calls_per_second, calls);
    renewals += world.node(i).store_renewals;
  }
  figure.renewals_per_node_second =
      static_cast<double>(renewals) / seconds / static_cast<double>(nodes);
  return figure;
}

int Main(int argc, char** argv) {
  const BenchOptions options = ParseBenchOptions(argc, argv);
  BenchReport report("gateway_store", {"nodes", "service", "calls/s/node",
                                       "renewals/s/node", "most calls/s"});
  const std::vector<std::pair<Load, std::string>> loads = {
      {Load::kIdle, "idle"},
      {Load::kChanges, "changes"},
      {Load::kAway, "away"},
      {Load::kRefuses, "refuses"},
      {Load::kRefusesSome, "refuses_some"}};
  for (const std::size_t nodes : kFleets) {
    for (const auto& [load, name] : loads) {
      const Figure figure = Measure(nodes, load, options.seeds.front());
      report.AddRow({std::to_string(nodes), name,
                     FormatNumber(figure.calls_per_node_second, 2),
                     FormatNumber(figure.renewals_per_node_second, 2),
                     FormatNumber(figure.max_calls_per_second, 2)});
      const std::string prefix =
          "nodes" + std::to_string(nodes) + "_" + name + "_";
      report.SetFigure(prefix + "calls_per_node_s",
                       figure.calls_per_node_second);
      report.SetFigure(prefix + "renewals_per_node_s",
                       figure.renewals_per_node_second);
      report.SetFigure(prefix + "most_calls_s", figure.max_calls_per_second);
    }
  }
  return report.Finish(options);
}

}  // namespace
}  // namespace gcw::bench

int main(int argc, char** argv) {
  return gcw::bench::Main(argc, argv);
}
