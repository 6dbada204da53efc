#include "bench/bench_report.h"

#include <algorithm>
#include <boost/json.hpp>
#include <boost/program_options.hpp>
#include <cstdlib>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <numeric>
#include <sstream>

namespace gcw::bench {
namespace {

namespace po = boost::program_options;

const std::vector<std::uint64_t> kTuningSeeds = {1, 2, 3};
const std::vector<std::uint64_t> kFinalSeeds = {7001, 7002, 7003};

std::vector<std::uint64_t> SplitSeeds(const std::string& text) {
  std::vector<std::uint64_t> seeds;
  std::istringstream stream(text);
  std::string part;
  while (std::getline(stream, part, ',')) {
    seeds.push_back(std::stoull(part));
  }
  return seeds;
}

po::options_description Description() {
  po::options_description description("Options");
  auto add = description.add_options();
  add("help", "print this help");
  add("seed", po::value<std::uint64_t>(), "run this seed only");
  add("seeds", po::value<std::string>(), "run these seeds: N,N,...");
  add("final", "run the seeds reserved for final figures");
  add("json", po::value<std::string>(), "write the figures to this file");
  return description;
}

BenchOptions OptionsFrom(const po::variables_map& values) {
  BenchOptions options{.seeds = kTuningSeeds, .json_file = {}};
  if (values.contains("final")) {
    options.seeds = kFinalSeeds;
  }
  if (values.contains("seeds")) {
    options.seeds = SplitSeeds(values["seeds"].as<std::string>());
  }
  if (values.contains("seed")) {
    options.seeds = {values["seed"].as<std::uint64_t>()};
  }
  if (values.contains("json")) {
    options.json_file = values["json"].as<std::string>();
  }
  return options;
}

}  // namespace

BenchOptions ParseBenchOptions(int argc, char** argv) {
  const po::options_description description = Description();
  try {
    po::variables_map values;
    po::store(po::parse_command_line(argc, argv, description), values);
    if (!values.contains("help")) {
      return OptionsFrom(values);
    }
    std::cout << description;
    std::exit(EXIT_SUCCESS);
  } catch (const std::exception& error) {
    std::cerr << error.what() << "\n" << description;
    std::exit(EXIT_FAILURE);
  }
}

Spread SpreadOf(const std::vector<double>& values) {
  if (values.empty()) {
    return {};
  }
  const auto [lowest, highest] =
      std::minmax_element(values.begin(), values.end());
  const double sum = std::accumulate(values.begin(), values.end(), 0.0);
  return {.mean = sum / static_cast<double>(values.size()),
          .lowest = *lowest,
          .highest = *highest};
}

std::string FormatNumber(double value, int decimals) {
  std::ostringstream out;
  out << std::fixed << std::setprecision(decimals) << value;
  return out.str();
}

std::string FormatSpread(const Spread& spread, int decimals) {
  return FormatNumber(spread.mean, decimals) + " [" +
         FormatNumber(spread.lowest, decimals) + ", " +
         FormatNumber(spread.highest, decimals) + "]";
}

BenchReport::BenchReport(std::string name, std::vector<std::string> columns)
    : name_(std::move(name)), columns_(std::move(columns)) {}

void BenchReport::AddRow(std::vector<std::string> cells) {
  cells.resize(columns_.size());
  rows_.push_back(std::move(cells));
}

void BenchReport::SetFigure(std::string name, double value) {
  figures_.emplace_back(std::move(name), value);
}

int BenchReport::Finish(const BenchOptions& options) const {
  PrintTable();
  if (!options.json_file.empty() && !WriteJson(options.json_file)) {
    std::cerr << "cannot write " << options.json_file << "\n";
    return EXIT_FAILURE;
  }
  return EXIT_SUCCESS;
}

void BenchReport::PrintTable() const {
  std::vector<std::size_t> widths;
  for (std::size_t i = 0; i < columns_.size(); ++i) {
    std::size_t width = columns_[i].size();
    for (const auto& row : rows_) {
      width = std::max(width, row[i].size());
    }
    widths.push_back(width);
  }
  const auto print = [&widths](const std::vector<std::string>& cells) {
    for (std::size_t i = 0; i < cells.size(); ++i) {
      std::cout << "| " << std::left << std::setw(static_cast<int>(widths[i]))
                << cells[i] << " ";
    }
    std::cout << "|\n";
  };
  std::cout << name_ << "\n";
  print(columns_);
  for (const auto& row : rows_) {
    print(row);
  }
}

bool BenchReport::WriteJson(const std::string& file) const {
  boost::json::object figures;
  for (const auto& [name, value] : figures_) {
    figures[name] = value;
  }
  const boost::json::object root = {{"bench", name_}, {"figures", figures}};
  std::ofstream out(file);
  out << boost::json::serialize(root) << "\n";
  return out.good();
}

}  // namespace gcw::bench
