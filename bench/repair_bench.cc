// Compares group downtime and stranded accelerators for the planner with the
// weights of two operators and for repair in order of arrival.

#include <string>
#include <vector>

#include "bench/bench_report.h"
#include "bench/repair_world.h"

namespace gcw::bench {
namespace {

struct Policy {
  std::string name;
  PlannerSettings planner;
  bool excludes_flapping = true;
};

constexpr RepairWeights kOblak{.group_downtime = 600,
                               .stranded_accelerator = 1};
constexpr RepairWeights kHarrowgate{.group_downtime = 20,
                                    .stranded_accelerator = 1};

std::vector<Policy> Policies() {
  PlannerSettings planner;
  planner.losses_per_vm_day = 1.45;
  planner.mean_recovery_time = Duration::Seconds(180);
  Policy oblak{"oblak", planner, true};
  oblak.planner.weights = kOblak;
  Policy harrowgate{"harrowgate", planner, true};
  harrowgate.planner.weights = kHarrowgate;
  Policy arrival{"arrival", planner, false};
  arrival.planner.prioritize_by_need = false;
  return {arrival, oblak, harrowgate};
}

double Weighted(const RepairWeights& weights, const RepairCost& cost) {
  return weights.group_downtime * cost.group_hours_down +
         weights.stranded_accelerator * cost.accelerator_hours_stranded;
}

int Main(int argc, char** argv) {
  const BenchOptions options = ParseBenchOptions(argc, argv);
  BenchReport report(
      "repair",
      {"policy", "group hours down", "accelerator hours idle", "sum, Oblak",
       "sum, Harrowgate", "moves", "loads in worst minute"});
  for (const Policy& policy : Policies()) {
    std::vector<double> down;
    std::vector<double> idle;
    std::vector<double> oblak;
    std::vector<double> harrowgate;
    std::vector<double> moves;
    std::vector<double> loads;
    for (const std::uint64_t seed : options.seeds) {
      RepairWorld world(RepairSettings(), policy.planner,
                        policy.excludes_flapping, seed);
      const RepairCost cost = world.Run();
      down.push_back(cost.group_hours_down);
      idle.push_back(cost.accelerator_hours_stranded);
      oblak.push_back(Weighted(kOblak, cost));
      harrowgate.push_back(Weighted(kHarrowgate, cost));
      moves.push_back(static_cast<double>(cost.moves));
      loads.push_back(static_cast<double>(cost.max_loads_per_minute));
    }
    report.AddRow(
        {policy.name, FormatSpread(SpreadOf(down), 1),
         FormatSpread(SpreadOf(idle), 0), FormatSpread(SpreadOf(oblak), 0),
         FormatSpread(SpreadOf(harrowgate), 0),
         FormatSpread(SpreadOf(moves), 0), FormatSpread(SpreadOf(loads), 0)});
    report.SetFigure(policy.name + "_group_hours_down", SpreadOf(down).mean);
    report.SetFigure(policy.name + "_accelerator_hours_idle",
                     SpreadOf(idle).mean);
    report.SetFigure(policy.name + "_sum_oblak", SpreadOf(oblak).mean);
    report.SetFigure(policy.name + "_sum_harrowgate",
                     SpreadOf(harrowgate).mean);
  }
  return report.Finish(options);
}

}  // namespace
}  // namespace gcw::bench

int main(int argc, char** argv) {
  return gcw::bench::Main(argc, argv);
}
