#ifndef BENCH_BENCH_REPORT_H_
#define BENCH_BENCH_REPORT_H_

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace gcw::bench {

// Command-line options shared by all benchmarks that run in virtual time.
struct BenchOptions {
  // The benchmark runs once per seed. Policies are tuned on the default seeds
  // only.
  std::vector<std::uint64_t> seeds;
  // Path of the JSON output; empty if none was requested.
  std::string json_file;
};

// Parses `--seed N`, `--seeds N,N,...`, `--final` (the seeds reserved for final
// figures) and `--json FILE`. Exits the process if the command line is invalid.
BenchOptions ParseBenchOptions(int argc, char** argv);

// Mean and range of a figure over several seeds.
struct Spread {
  double mean = 0;
  double lowest = 0;
  double highest = 0;
};

Spread SpreadOf(const std::vector<double>& values);

// Formats as "12.3 [11.9, 12.8]": mean, lowest and highest.
std::string FormatSpread(const Spread& spread, int decimals);
std::string FormatNumber(double value, int decimals);

// Collects a benchmark's human-readable table and its figures for CI.
class BenchReport {
 public:
  BenchReport(std::string name, std::vector<std::string> columns);

  void AddRow(std::vector<std::string> cells);
  // Records a figure that CI may check against a bound.
  void SetFigure(std::string name, double value);
  // Prints the table and writes the JSON file if one was requested. Returns the
  // exit status of the process.
  int Finish(const BenchOptions& options) const;

 private:
  void PrintTable() const;
  bool WriteJson(const std::string& file) const;

  std::string name_;
  std::vector<std::string> columns_;
  std::vector<std::vector<std::string>> rows_;
  std::vector<std::pair<std::string, double>> figures_;
};

}  // namespace gcw::bench

#endif  // BENCH_BENCH_REPORT_H_
