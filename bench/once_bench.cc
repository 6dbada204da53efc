// Counts in virtual time which sends of callers are refused under each fault,
// for several outage leases, compared with a baseline that refuses everything.

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <functional>
#include <iostream>
#include <string>
#include <vector>

#include <boost/json.hpp>
#include <boost/program_options.hpp>

#include "tests/support/once_world.h"

namespace {

using gcw::Duration;
using gcw::OnceWorld;
using gcw::SendOutcome;

constexpr std::int64_t kNodes = 8;
constexpr Duration kLength = Duration::Seconds(420);
constexpr Duration kFaultAt = Duration::Seconds(20);

struct Scenario {
  std::string name;
  std::function<void(OnceWorld&)> inject;
};

std::vector<Scenario> Scenarios() {
  return {
      {"none", [](OnceWorld&) {}},
      {"owner_killed",
       [](OnceWorld& world) { world.Kill(0, Duration::Seconds(10)); }},
      {"owner_paused_30s",
       [](OnceWorld& world) { world.Pause(0, Duration::Seconds(30)); }},
      {"owner_cut_30s",
       [](OnceWorld& world) { world.Partition(0, Duration::Seconds(30)); }},
      {"owner_cut_from_store_30s",
       [](OnceWorld& world) {
         world.PartitionFromStore(0, Duration::Seconds(30));
       }},
      {"false_suspicion_30s",
       [](OnceWorld& world) { world.Suspect(0, Duration::Seconds(30)); }},
      {"all_replaced_in_turn",
       [](OnceWorld& world) {
         for (std::int64_t node = 0; node < kNodes; ++node) {
           world.Stop(node, Duration::Seconds(5));
           world.Run(Duration::Seconds(15));
         }
       }},
      {"store_outage_5s",
       [](OnceWorld& world) { world.Outage(Duration::Seconds(5)); }},
      {"store_outage_60s",
       [](OnceWorld& world) { world.Outage(Duration::Seconds(60)); }},
      {"store_outage_300s",
       [](OnceWorld& world) { world.Outage(Duration::Seconds(300)); }},
      {"outage_60s_owner_killed",
       [](OnceWorld& world) {
         world.Outage(Duration::Seconds(60));
         world.Run(Duration::Seconds(10));
         world.Kill(0, Duration::Seconds(10));
       }},
      {"store_slow_1s",
       [](OnceWorld& world) {
         world.store().faults().max_delay = Duration::Millis(1000);
       }},
      {"store_answers_lost_20pct",
       [](OnceWorld& world) { world.store().faults().reply_loss_rate = 0.2; }},
      {"messages_lost_5pct",
       [](OnceWorld& world) { world.network().faults().loss_rate = 0.05; }},
  };
}

struct Counts {
  std::int64_t sends = 0;
  std::int64_t first = 0;
  std::int64_t first_refused = 0;
  std::int64_t issued_first = 0;
  std::int64_t issued_first_refused = 0;
  std::int64_t repeats = 0;
  std::int64_t replayed = 0;
  std::int64_t repeats_refused = 0;
  std::int64_t untold = 0;
  std::int64_t store_calls = 0;
  bool violated = false;
};

bool IsRefused(const OnceWorld::Send& send) {
  if (send.outcome == SendOutcome::kEarlier) {
    return true;
  }
  return send.outcome == SendOutcome::kNotRun &&
         send.refusal != gcw::RefusalKind::kNoCapacity;
}

void CountSend(const OnceWorld::Send& send, Counts& counts) {
  ++counts.sends;
  counts.untold += send.outcome == SendOutcome::kNothing ? 1 : 0;
  const int refused = IsRefused(send) ? 1 : 0;
  if (!send.first) {
    ++counts.repeats;
    counts.replayed += send.outcome == SendOutcome::kReplayed ? 1 : 0;
    counts.repeats_refused += refused;
  } else if (send.key.starts_with("gcw1.")) {
    ++counts.issued_first;
    counts.issued_first_refused += refused;
  } else {
    ++counts.first;
    counts.first_refused += refused;
  }
}

Counts Measure(const Scenario& scenario,
               Duration outage_lease,
               std::uint64_t seed) {
  gcw::OnceWorldSettings settings;
  settings.nodes = kNodes;
  settings.seed = seed;
  settings.owner.outage_lease = outage_lease;
  OnceWorld world(settings);
  const gcw::Time end = world.now() + kLength;
  world.Run(kFaultAt);
  scenario.inject(world);
  world.Run(end - world.now());
  world.StopSending();
  world.Run(Duration::Seconds(20));
  Counts counts;
  for (const auto& [request, send] : world.sends()) {
    CountSend(send, counts);
  }
  counts.store_calls = world.store().calls();
  counts.violated = !world.violation().empty();
  if (counts.violated) {
    std::cerr << scenario.name << ": " << world.violation() << "\n";
  }
  return counts;
}

double Percent(std::int64_t part, std::int64_t whole) {
  return whole == 0
             ? 0
             : 100.0 * static_cast<double>(part) / static_cast<double>(whole);
}

void PrintRow(const std::string& name, const Counts& counts) {
  std::printf("%-26s %6lld %8.2f%% %8.2f%% %8.2f%% %8.2f%% %7lld %7.1f\n",
              name.c_str(), static_cast<long long>(counts.sends),
              Percent(counts.first_refused, counts.first),
              Percent(counts.issued_first_refused, counts.issued_first),
              Percent(counts.repeats_refused, counts.repeats),
              Percent(counts.replayed, counts.repeats),
              static_cast<long long>(counts.untold),
              static_cast<double>(counts.store_calls) /
                  (0.001 * static_cast<double>(kLength.millis())));
}

void AddFigures(boost::json::object& figures,
                const std::string& prefix,
                const Counts& counts) {
  figures[prefix + "/first_refused_percent"] =
      Percent(counts.first_refused, counts.first);
  figures[prefix + "/issued_refused_percent"] =
      Percent(counts.issued_first_refused, counts.issued_first);
  figures[prefix + "/repeats_refused_percent"] =
      Percent(counts.repeats_refused, counts.repeats);
  figures[prefix + "/violations"] = counts.violated ? 1 : 0;
}

// Measures the cost of the journal without faults: calls to the key-value
// service, and how long a caller's first send waits before it may run.
void MeasureRates(std::uint64_t seed, boost::json::object& figures) {
  std::printf("\n%-12s %9s %12s %12s\n", "sends/s", "store/s", "p50 wait ms",
              "p99 wait ms");
  for (const int rate : {20, 90, 400, 1600}) {
    gcw::OnceWorldSettings settings;
    settings.nodes = kNodes;
    settings.seed = seed;
    settings.sends_per_second = rate;
    settings.issued_key_probability = 0;
    settings.repeat_probability = 0;
    OnceWorld world(settings);
    constexpr std::int64_t kSeconds = 30;
    world.Run(Duration::Seconds(kSeconds));
    std::vector<std::int64_t> waits;
    for (const auto& [request, send] : world.sends()) {
      if (send.run_at) {
        waits.push_back((*send.run_at - send.at).millis());
      }
    }
    std::sort(waits.begin(), waits.end());
    const std::int64_t median = waits[waits.size() / 2];
    const std::int64_t slow = waits[waits.size() * 99 / 100];
    const double calls = static_cast<double>(world.store().calls()) / kSeconds;
    std::printf("%-12zu %9.1f %12lld %12lld\n", waits.size() / kSeconds, calls,
                static_cast<long long>(median), static_cast<long long>(slow));
    const std::string prefix = "rate_" + std::to_string(rate);
    figures[prefix + "/store_calls_per_second"] = calls;
    figures[prefix + "/wait_p99_millis"] = slow;
  }
}

}  // namespace

int main(int argc, char** argv) {
  namespace options = boost::program_options;
  std::string json_file;
  std::uint64_t seed = 1;
  options::options_description description;
  description.add_options()("json", options::value(&json_file))(
      "seed", options::value(&seed));
  options::variables_map given;
  options::store(options::parse_command_line(argc, argv, description), given);
  options::notify(given);

  boost::json::object figures;
  bool violated = false;
  for (const std::int64_t lease : {0, 30, 120, 600}) {
    std::printf(
        "\noutage lease %lld s; a baseline that refuses everything: "
        "100%% of first sends, 100%% of repeats\n",
        static_cast<long long>(lease));
    std::printf("%-26s %6s %9s %9s %9s %9s %7s %7s\n", "fault", "sends",
                "1st ref.", "issued r.", "rep. ref.", "replayed", "untold",
                "store/s");
    for (const Scenario& scenario : Scenarios()) {
      const Counts counts = Measure(scenario, Duration::Seconds(lease), seed);
      violated = violated || counts.violated;
      PrintRow(scenario.name, counts);
      AddFigures(figures,
                 scenario.name + "/lease_" + std::to_string(lease) + "s",
                 counts);
    }
  }
  MeasureRates(seed, figures);
  if (!json_file.empty()) {
    std::ofstream(json_file) << boost::json::serialize(
        boost::json::object{{"bench", "once"}, {"figures", figures}});
  }
  return violated ? 1 : 0;
}
