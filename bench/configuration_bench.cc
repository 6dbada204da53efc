// Measures in virtual time how long a configuration change takes until it is in
// force on all nodes, and what its distribution costs, against the number of
// nodes.

#include <algorithm>
#include <functional>
#include <string>
#include <vector>

#include "bench/bench_report.h"
#include "tests/support/config_cluster.h"

namespace gcw::bench {
namespace {

constexpr std::size_t kContracts = 100;
constexpr std::size_t kValueBytes = 600;
constexpr int kChanges = 10;
constexpr Duration kIdleSpan = Duration::Seconds(60);
constexpr Duration kTimeout = Duration::Seconds(120);

struct Fleet {
  std::size_t nodes;
  std::size_t zones;
};

const std::vector<Fleet> kFleets = {{8, 3}, {64, 3}, {420, 5}};

// A fault that is present while the changes are made.
struct Scenario {
  std::string name;
  std::function<void(ConfigCluster&)> inject_fault;
};

std::vector<Scenario> Scenarios() {
  return {
      {"steady", [](ConfigCluster&) {}},
      {"loss10",
       [](ConfigCluster& c) { c.network().faults().loss_rate = 0.1; }},
      {"zone_without_store",
       [](ConfigCluster& c) {
         c.link().SetReachable([&c](const std::string& caller) {
           return c.nodes()[std::stoul(caller)].zone != ZoneId("z0");
         });
       }},
  };
}

std::string KeyOf(std::size_t contract) {
  return "contract/customer" + std::to_string(contract);
}

// Gives all nodes of the cluster the same contracts.
void FillContracts(ConfigCluster& cluster) {
  for (std::size_t i = 0; i < kContracts; ++i) {
    const ConfigRecord record{.value = std::string(kValueBytes, 'x'),
                              .change = ChangeId("fill" + std::to_string(i)),
                              .history = {}};
    cluster.link().store().Execute(
        cluster.now(), StorePut{.key = KeyOf(i),
                                .value = TextConfigCodec().encode(record),
                                .expected = Revision(),
                                .lease = LeaseId()});
  }
  // Every node starts with an empty copy and reads the contracts.
  cluster.Run(Duration::Seconds(60));
}

bool AllHold(ConfigCluster& cluster,
             const std::string& key,
             Revision revision) {
  return std::all_of(cluster.nodes().begin(), cluster.nodes().end(),
                     [&](const auto& node) {
                       const ConfigEntry* entry = node.sync->store().Find(key);
                       return entry != nullptr && entry->revision >= revision;
                     });
}

bool AllConfirm(ConfigCluster& cluster, Revision revision) {
  return std::all_of(
      cluster.nodes().begin(), cluster.nodes().end(),
      [&](const auto& node) { return node.sync->floor() >= revision; });
}

struct Figures {
  // Seconds from the operator's call until the change has reached each state.
  std::vector<double> accepted;
  std::vector<double> in_force;
  std::vector<double> confirmed;
  double idle_bytes_per_node_second = 0;
  double idle_calls_per_second = 0;
  double bytes_per_node_change = 0;
  double calls_per_change = 0;
  std::size_t watches = 0;
};

double Seconds(Duration span) {
  return static_cast<double>(span.millis()) / 1000;
}

double Highest(const std::vector<double>& values) {
  return *std::max_element(values.begin(), values.end());
}

void MeasureIdle(ConfigCluster& cluster, Figures& figures) {
  const std::int64_t bytes = cluster.sent_bytes();
  const std::int64_t calls = cluster.link().calls();
  cluster.Run(kIdleSpan);
  const auto nodes = static_cast<double>(cluster.nodes().size());
  figures.idle_bytes_per_node_second =
      static_cast<double>(cluster.sent_bytes() - bytes) / nodes /
      Seconds(kIdleSpan);
  figures.idle_calls_per_second =
      static_cast<double>(cluster.link().calls() - calls) / Seconds(kIdleSpan);
  figures.watches = cluster.link().waiting_watches();
}

// Makes one change through a random node and runs until the floor of every node
// covers the change.
void MeasureChange(ConfigCluster& cluster, Figures& figures) {
  const std::string key = KeyOf(DrawBelow(cluster.random(), kContracts));
  // Zone z0 is skipped because one scenario cuts its nodes off from the
  // key-value service.
  std::size_t node = 0;
  do {
    node = DrawBelow(cluster.random(), cluster.nodes().size());
  } while (cluster.nodes()[node].zone == ZoneId("z0"));
  const Time start = cluster.now();
  const ChangeOutcome outcome =
      cluster.Settle(node, key, std::string(kValueBytes, 'y'),
                     cluster.store_of(node).Find(key)->revision);
  const auto* accepted = std::get_if<ChangeAccepted>(&outcome);
  if (accepted == nullptr) {
    return;
  }
  figures.accepted.push_back(Seconds(cluster.now() - start));
  while (!AllHold(cluster, key, accepted->revision) &&
         cluster.now() < start + kTimeout) {
    cluster.Step();
  }
  figures.in_force.push_back(Seconds(cluster.now() - start));
  while (!AllConfirm(cluster, accepted->revision) &&
         cluster.now() < start + kTimeout) {
    cluster.Step();
  }
  figures.confirmed.push_back(Seconds(cluster.now() - start));
}

Figures Measure(const Fleet& fleet,
                const Scenario& scenario,
                std::uint64_t seed) {
  ConfigCluster cluster(fleet.nodes, seed, fleet.zones);
  FillContracts(cluster);
  Figures figures;
  scenario.inject_fault(cluster);
  MeasureIdle(cluster, figures);
  const std::int64_t bytes = cluster.sent_bytes();
  const std::int64_t calls = cluster.link().calls();
  const Time start = cluster.now();
  for (int change = 0; change < kChanges; ++change) {
    MeasureChange(cluster, figures);
  }
  const double span = Seconds(cluster.now() - start);
  const auto nodes = static_cast<double>(fleet.nodes);
  figures.bytes_per_node_change =
      (static_cast<double>(cluster.sent_bytes() - bytes) / nodes -
       figures.idle_bytes_per_node_second * span) /
      kChanges;
  figures.calls_per_change =
      (static_cast<double>(cluster.link().calls() - calls) -
       figures.idle_calls_per_second * span) /
      kChanges;
  return figures;
}

// Returns the time until a node that starts empty during an outage is ready.
double MeasureEmptyStart(const Fleet& fleet, std::uint64_t seed) {
  ConfigCluster cluster(fleet.nodes, seed, fleet.zones);
  FillContracts(cluster);
  cluster.link().SetOutage(cluster.now(), true);
  cluster.Restart(0);
  const Time start = cluster.now();
  while (!cluster.nodes()[0].sync->ready() &&
         cluster.now() < start + kTimeout) {
    cluster.Step();
  }
  return Seconds(cluster.now() - start);
}

void Report(const Fleet& fleet,
            const Scenario& scenario,
            const Figures& figures,
            BenchReport& report) {
  report.AddRow({std::to_string(fleet.nodes), scenario.name,
                 FormatSpread(SpreadOf(figures.accepted), 2),
                 FormatSpread(SpreadOf(figures.in_force), 2),
                 FormatSpread(SpreadOf(figures.confirmed), 2),
                 FormatNumber(figures.idle_bytes_per_node_second, 0),
                 FormatNumber(figures.bytes_per_node_change, 0),
                 FormatNumber(figures.calls_per_change, 1),
                 FormatNumber(figures.idle_calls_per_second, 2),
                 std::to_string(figures.watches)});
  const std::string name =
      scenario.name + "_" + std::to_string(fleet.nodes) + "_";
  report.SetFigure(name + "in_force_max_s", Highest(figures.in_force));
  report.SetFigure(name + "confirmed_max_s", Highest(figures.confirmed));
  report.SetFigure(name + "bytes_per_node_s",
                   figures.idle_bytes_per_node_second);
  report.SetFigure(name + "bytes_per_node_change",
                   figures.bytes_per_node_change);
  report.SetFigure(name + "calls_per_change", figures.calls_per_change);
  report.SetFigure(name + "watches", static_cast<double>(figures.watches));
}

int Main(int argc, char** argv) {
  const BenchOptions options = ParseBenchOptions(argc, argv);
  const std::uint64_t seed = options.seeds.front();
  BenchReport report("configuration",
                     {"nodes", "scenario", "accepted s", "in force s",
                      "confirmed s", "quiet B/s/node", "B/node/change",
                      "calls/change", "quiet calls/s", "watches"});
  for (const Fleet& fleet : kFleets) {
    for (const Scenario& scenario : Scenarios()) {
      Report(fleet, scenario, Measure(fleet, scenario, seed), report);
    }
    const double ready = MeasureEmptyStart(fleet, seed);
    report.AddRow({std::to_string(fleet.nodes), "empty_start_in_outage", "",
                   FormatNumber(ready, 2)});
    report.SetFigure("empty_start_" + std::to_string(fleet.nodes) + "_ready_s",
                     ready);
  }
  return report.Finish(options);
}

}  // namespace
}  // namespace gcw::bench

int main(int argc, char** argv) {
  return gcw::bench::Main(argc, argv);
}
