#ifndef BENCH_BENCH_REPORT_H_
#define BENCH_BENCH_REPORT_H_

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace gcw::bench {

// What every benchmark in virtual time takes on its command line.
struct BenchOptions {
  // One run for each; policies are tuned on the default seeds only.
  std::vector<std::uint64_t> seeds;
  // Empty where no JSON is asked for.
  std::string json_file;
};

// Reads `--seed N`, `--seeds N,N,...`, `--final` (the seeds reserved for final
// figures) and `--json FILE`. Exits the process on a wrong command line.
BenchOptions ParseBenchOptions(int argc, char** argv);

// A figure over several seeds.
struct Spread {
  double mean = 0;
  double lowest = 0;
  double highest = 0;
};

Spread SpreadOf(const std::vector<double>& values);

// "12.3 [11.9, 12.8]".
std::string FormatSpread(const Spread& spread, int decimals);
std::string FormatNumber(double value, int decimals);

// Collects a benchmark's table for people and its figures for CI.
class BenchReport {
 public:
  BenchReport(std::string name, std::vector<std::string> columns);

  void AddRow(std::vector<std::string> cells);
  // Names a figure that CI may hold against a bound.
  void SetFigure(std::string name, double value);
  // Prints the table and writes the JSON file where one is asked for. Returns
  // the exit status of the process.
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
