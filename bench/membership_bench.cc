// Measures a node's cost of failure detection, and how soon failures and
// planned stops are known, against the number of nodes. All figures except
// processor time and memory are in virtual time.

#include <malloc.h>

#include <ctime>
#include <functional>
#include <string>
#include <vector>

#include "bench/bench_report.h"
#include "tests/support/member_cluster.h"

namespace gcw::bench {
namespace {

constexpr Duration kIdleSpan = Duration::Seconds(60);
constexpr Duration kTimeout = Duration::Seconds(300);

struct Fleet {
  std::size_t nodes;
  std::size_t zones;
};

const std::vector<Fleet> kFleets = {{8, 3}, {64, 3}, {420, 5}};

double Seconds(Duration span) {
  return static_cast<double>(span.millis()) / 1000;
}

double ProcessorSeconds() {
  return static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

double RunUntil(MemberCluster& cluster, const std::function<bool()>& done) {
  const Time start = cluster.now();
  while (!done() && cluster.now() < start + kTimeout) {
    cluster.Step();
  }
  return Seconds(cluster.now() - start);
}

struct IdleCost {
  double messages_per_node_second = 0;
  double bytes_per_node_second = 0;
  double store_calls_per_second = 0;
  // Processor time of all nodes' state machines and the fake network.
  double processor_micros_per_node_second = 0;
};

IdleCost MeasureIdle(MemberCluster& cluster) {
  const std::int64_t messages = cluster.network().sent();
  const std::int64_t bytes = cluster.sent_bytes();
  const std::int64_t calls = cluster.link().calls();
  const double processor = ProcessorSeconds();
  cluster.Run(kIdleSpan);
  const double node_seconds =
      static_cast<double>(cluster.nodes().size()) * Seconds(kIdleSpan);
  return {.messages_per_node_second =
              static_cast<double>(cluster.network().sent() - messages) /
              node_seconds,
          .bytes_per_node_second =
              static_cast<double>(cluster.sent_bytes() - bytes) / node_seconds,
          .store_calls_per_second =
              static_cast<double>(cluster.link().calls() - calls) /
              Seconds(kIdleSpan),
          .processor_micros_per_node_second =
              (ProcessorSeconds() - processor) * 1e6 / node_seconds};
}

// Seconds from the death of a node until other nodes detect it.
struct Detection {
  double first_suspect = 0;
  // Time until all nodes consider the node suspect or dead, so that it gets no
  // new work.
  double all_avoid = 0;
  double all_dead = 0;
};

Detection MeasureDetection(MemberCluster& cluster) {
  const std::size_t failed_node = cluster.nodes().size() / 2;
  cluster.nodes()[failed_node].up = false;
  const std::size_t others = cluster.nodes().size() - 1;
  const auto avoiding = [&] {
    return cluster.CountNodesSeeing(failed_node, MemberState::kSuspect) +
           cluster.CountNodesSeeing(failed_node, MemberState::kDead);
  };
  Detection detection;
  detection.first_suspect = RunUntil(cluster, [&] { return avoiding() > 0; });
  detection.all_avoid = detection.first_suspect +
                        RunUntil(cluster, [&] { return avoiding() == others; });
  detection.all_dead = detection.all_avoid + RunUntil(cluster, [&] {
                         return cluster.CountNodesSeeing(
                                    failed_node, MemberState::kDead) == others;
                       });
  return detection;
}

double MeasureLeaving(MemberCluster& cluster) {
  const std::size_t leaving_node = 1;
  std::size_t others = 0;
  for (const MemberCluster::Node& node : cluster.nodes()) {
    others += node.up ? 1 : 0;
  }
  --others;
  cluster.Leave(leaving_node);
  return RunUntil(cluster, [&] {
    return cluster.CountNodesSeeing(leaving_node, MemberState::kLeaving) ==
           others;
  });
}

struct ZoneLoss {
  double all_dead_seconds = 0;
  // Bytes per surviving node in the busiest second.
  double peak_bytes_per_node_second = 0;
};

ZoneLoss MeasureZoneLoss(MemberCluster& cluster) {
  std::vector<std::size_t> lost;
  for (std::size_t i = 0; i < cluster.nodes().size(); ++i) {
    if (cluster.nodes()[i].record.zone == ZoneId("z0")) {
      cluster.nodes()[i].up = false;
      lost.push_back(i);
    }
  }
  ZoneLoss loss;
  const auto alive = static_cast<double>(cluster.nodes().size() - lost.size());
  while (!cluster.HasConverged() && loss.all_dead_seconds < Seconds(kTimeout)) {
    const std::int64_t before = cluster.sent_bytes();
    cluster.Run(Duration::Seconds(1));
    loss.all_dead_seconds += 1;
    loss.peak_bytes_per_node_second =
        std::max(loss.peak_bytes_per_node_second,
                 static_cast<double>(cluster.sent_bytes() - before) / alive);
  }
  return loss;
}

void MeasureFleet(const Fleet& fleet, std::uint64_t seed, BenchReport& report) {
  const auto heap_before = mallinfo2().uordblks;
  MemberCluster cluster(fleet.nodes, seed, fleet.zones);
  cluster.Run(Duration::Seconds(60));
  const double heap_kilobytes =
      static_cast<double>(mallinfo2().uordblks - heap_before) / 1024 /
      static_cast<double>(fleet.nodes);
  const IdleCost idle = MeasureIdle(cluster);
  const Detection detection = MeasureDetection(cluster);
  const double leaving = MeasureLeaving(cluster);
  MemberCluster zone_cluster(fleet.nodes, seed + 1, fleet.zones);
  zone_cluster.Run(Duration::Seconds(60));
  const ZoneLoss loss = MeasureZoneLoss(zone_cluster);

  report.AddRow({std::to_string(fleet.nodes),
                 FormatNumber(idle.messages_per_node_second, 2),
                 FormatNumber(idle.bytes_per_node_second, 0),
                 FormatNumber(idle.store_calls_per_second, 2),
                 FormatNumber(detection.first_suspect, 2),
                 FormatNumber(detection.all_avoid, 2),
                 FormatNumber(detection.all_dead, 2), FormatNumber(leaving, 2),
                 FormatNumber(loss.all_dead_seconds, 0),
                 FormatNumber(loss.peak_bytes_per_node_second, 0),
                 FormatNumber(idle.processor_micros_per_node_second, 0),
                 FormatNumber(heap_kilobytes, 0)});
  const std::string name = "nodes" + std::to_string(fleet.nodes) + "_";
  report.SetFigure(name + "messages_per_node_s", idle.messages_per_node_second);
  report.SetFigure(name + "bytes_per_node_s", idle.bytes_per_node_second);
  report.SetFigure(name + "store_calls_s", idle.store_calls_per_second);
  report.SetFigure(name + "first_suspect_s", detection.first_suspect);
  report.SetFigure(name + "all_avoid_s", detection.all_avoid);
  report.SetFigure(name + "all_dead_s", detection.all_dead);
  report.SetFigure(name + "leaving_s", leaving);
  report.SetFigure(name + "zone_dead_s", loss.all_dead_seconds);
  report.SetFigure(name + "zone_peak_bytes_per_node_s",
                   loss.peak_bytes_per_node_second);
}

int Main(int argc, char** argv) {
  const BenchOptions options = ParseBenchOptions(argc, argv);
  BenchReport report(
      "membership",
      {"nodes", "messages/s/node", "B/s/node", "store calls/s",
       "first suspect s", "all avoid s", "all dead s", "leaving s",
       "zone dead s", "zone peak B/s/node", "CPU us/node/s", "heap KB/node"});
  for (const Fleet& fleet : kFleets) {
    MeasureFleet(fleet, options.seeds.front(), report);
  }
  return report.Finish(options);
}

}  // namespace
}  // namespace gcw::bench

int main(int argc, char** argv) {
  return gcw::bench::Main(argc, argv);
}
