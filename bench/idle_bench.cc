// Compares ways to run non-preemptible background work in the idle intervals of
// one engine: without a wait, with a fixed wait, and with the adaptive idle
// wait and the estimate of work per interval of Mi et al., "Efficient
// Management of Idleness in Storage Systems" (2009).

#include <algorithm>
#include <cmath>
#include <numeric>
#include <string>
#include <vector>

#include "bench/bench_report.h"
#include "core/core.h"

namespace gcw::bench {
namespace {

enum class Policy { kOff, kNoWait, kFixedWait, kEstimate };
enum class Arrivals { kSteady, kVariable, kBursty };

struct Scenario {
  std::string name;
  Arrivals arrivals = Arrivals::kSteady;
  double load = 0.3;
  // Mean service times in milliseconds.
  double foreground = 40;
  double background = 40;
};

struct Outcome {
  double mean_response = 0;
  double p95_response = 0;
  // Fraction of the time spent on background work.
  double background_share = 0;
};

// Generates the scenario's random interarrival and service times.
class RequestGenerator {
 public:
  RequestGenerator(const Scenario& scenario, std::uint64_t seed)
      : scenario_(scenario), random_(SeededRandom(seed)) {}

  double Exponential(double mean) {
    return -mean * std::log(1.0 - DrawUnit(random_));
  }

  double Gap() {
    const double mean = scenario_.foreground / scenario_.load;
    switch (scenario_.arrivals) {
      case Arrivals::kSteady:
        return Erlang(mean);
      case Arrivals::kVariable:
        return LogNormal(mean);
      case Arrivals::kBursty:
        return Bursty(mean);
    }
    return mean;
  }

 private:
  // Has a coefficient of variation of 1/3.
  double Erlang(double mean) {
    constexpr int kStages = 9;
    double sum = 0;
    for (int i = 0; i < kStages; ++i) {
      sum += Exponential(mean / kStages);
    }
    return sum;
  }

  // Has a coefficient of variation of 3.
  double LogNormal(double mean) {
    const double variance = std::log(1.0 + 9.0);
    const double radius = std::sqrt(-2.0 * std::log(1.0 - DrawUnit(random_)));
    const double normal =
        radius * std::cos(6.283185307179586 * DrawUnit(random_));
    return mean * std::exp(std::sqrt(variance) * normal - variance / 2);
  }

  // Alternates between two phases of about 50 requests each. In one of them the
  // gaps are 20 times shorter.
  double Bursty(double mean) {
    constexpr double kChange = 0.02;
    constexpr double kLong = 1.9047619;
    if (DrawUnit(random_) < kChange) {
      is_dense_ = !is_dense_;
    }
    return Exponential(is_dense_ ? mean * kLong / 20 : mean * kLong);
  }

  const Scenario& scenario_;
  Random random_;
  bool is_dense_ = false;
};

// Learns from past idle intervals how long to wait and how many jobs to run.
class IdleEstimate {
 public:
  explicit IdleEstimate(double job) : job_(job) {}

  void Add(double interval) {
    intervals_.push_back(interval);
    constexpr std::size_t kBatch = 1000;
    if (intervals_.size() == kBatch) {
      Learn();
      intervals_.clear();
    }
  }

  double wait() const { return wait_; }
  std::int64_t jobs() const { return jobs_; }

 private:
  void Learn() {
    std::sort(intervals_.begin(), intervals_.end());
    const auto count = static_cast<double>(intervals_.size());
    const double mean =
        std::accumulate(intervals_.begin(), intervals_.end(), 0.0) / count;
    double squares = 0;
    for (const double interval : intervals_) {
      squares += (interval - mean) * (interval - mean);
    }
    const bool is_variable = std::sqrt(squares / count) > mean;
    wait_ = is_variable ? FindBodyEnd(mean) : 0;
    const double high = intervals_[intervals_.size() * 9 / 10];
    // The paper chooses T close to 1 if idle times vary strongly, and lower
    // otherwise.
    const double share = is_variable ? 1.0 : 0.5;
    jobs_ = static_cast<std::int64_t>(
        std::max(0.0, std::floor(share * (high - wait_) / job_)));
  }

  // Returns the time at which the slope of the distribution, over time in
  // multiples of the mean, falls below the slope of a 30 degree line.
  double FindBodyEnd(double mean) const {
    constexpr double kSlope = 0.577;
    constexpr double kBinsPerMean = 10;
    const double width = mean / kBinsPerMean;
    double end = 0;
    for (int bin = 0; bin < 5 * static_cast<int>(kBinsPerMean); ++bin) {
      const auto low =
          std::lower_bound(intervals_.begin(), intervals_.end(), bin * width);
      const auto high =
          std::lower_bound(low, intervals_.end(), (bin + 1) * width);
      const double slope = static_cast<double>(high - low) /
                           static_cast<double>(intervals_.size()) *
                           kBinsPerMean;
      if (slope < kSlope) {
        break;
      }
      end = (bin + 1) * width;
    }
    return end;
  }

  double job_;
  std::vector<double> intervals_;
  double wait_ = 0;
  std::int64_t jobs_ = 0;
};

// Simulates one first-come-first-served server. A request that arrives during a
// background job waits until the job ends.
Outcome Simulate(const Scenario& scenario, Policy policy, std::uint64_t seed) {
  constexpr int kRequests = 100000;
  RequestGenerator source(scenario, seed);
  RequestGenerator jobs(scenario, seed + 1);
  IdleEstimate estimate(scenario.background);
  std::vector<double> responses;
  double arrival = 0;
  double free_at = 0;
  double background = 0;
  for (int i = 0; i < kRequests; ++i) {
    arrival += source.Gap();
    if (arrival > free_at) {
      estimate.Add(arrival - free_at);
      double at = free_at;
      std::int64_t max_jobs = policy == Policy::kOff ? 0 : INT64_MAX;
      if (policy == Policy::kFixedWait) {
        at += scenario.background;
      } else if (policy == Policy::kEstimate) {
        at += estimate.wait();
        max_jobs = estimate.jobs();
      }
      for (std::int64_t job = 0; job < max_jobs && at < arrival; ++job) {
        const double length = jobs.Exponential(scenario.background);
        background += length;
        at += length;
        free_at = at;
      }
    }
    const double start = std::max(arrival, free_at);
    free_at = start + source.Exponential(scenario.foreground);
    responses.push_back(free_at - arrival);
  }
  const double sum = std::accumulate(responses.begin(), responses.end(), 0.0);
  std::sort(responses.begin(), responses.end());
  return {sum / kRequests, responses[kRequests * 95 / 100],
          background / free_at};
}

std::vector<Scenario> Scenarios() {
  std::vector<Scenario> scenarios;
  const std::vector<std::pair<std::string, Arrivals>> arrivals = {
      {"steady", Arrivals::kSteady},
      {"variable", Arrivals::kVariable},
      {"bursty", Arrivals::kBursty}};
  // Exporting a chunk of a prefix takes about as long as a step of the engine;
  // a shard of weights takes seven times as long.
  for (const auto& [name, kind] : arrivals) {
    for (const double load : {0.3, 0.7}) {
      for (const double job : {40.0, 280.0}) {
        scenarios.push_back(Scenario{name + "_" + FormatNumber(load * 100, 0) +
                                         (job > 100 ? "_shard" : "_chunk"),
                                     kind, load, 40, job});
      }
    }
  }
  return scenarios;
}

int Main(int argc, char** argv) {
  const BenchOptions options = ParseBenchOptions(argc, argv);
  BenchReport report("idle", {"scenario", "policy", "slowdown, mean",
                              "slowdown, p95", "background share"});
  const std::vector<std::pair<std::string, Policy>> policies = {
      {"no_wait", Policy::kNoWait},
      {"fixed_wait", Policy::kFixedWait},
      {"estimate", Policy::kEstimate}};
  for (const Scenario& scenario : Scenarios()) {
    for (const auto& [name, policy] : policies) {
      std::vector<double> mean;
      std::vector<double> high;
      std::vector<double> share;
      for (const std::uint64_t seed : options.seeds) {
        const Outcome off = Simulate(scenario, Policy::kOff, seed);
        const Outcome on = Simulate(scenario, policy, seed);
        mean.push_back(on.mean_response / off.mean_response);
        high.push_back(on.p95_response / off.p95_response);
        share.push_back(on.background_share);
      }
      report.AddRow({scenario.name, name, FormatSpread(SpreadOf(mean), 2),
                     FormatSpread(SpreadOf(high), 2),
                     FormatSpread(SpreadOf(share), 3)});
      const std::string figure = scenario.name + "_" + name;
      report.SetFigure(figure + "_slowdown", SpreadOf(mean).mean);
      report.SetFigure(figure + "_share", SpreadOf(share).mean);
    }
  }
  return report.Finish(options);
}

}  // namespace
}  // namespace gcw::bench

int main(int argc, char** argv) {
  return gcw::bench::Main(argc, argv);
}
