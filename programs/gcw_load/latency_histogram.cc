#include "programs/gcw_load/latency_histogram.h"

#include <algorithm>
#include <cmath>

namespace gcw {
namespace {

constexpr double kLowestMillis = 0.01;
constexpr double kHighestMillis = 1e6;
constexpr unsigned kBins = 800;
constexpr double kMicrosPerMilli = 1000;

double ToMillis(std::chrono::microseconds time) {
  return static_cast<double>(time.count()) / kMicrosPerMilli;
}

}  // namespace

LatencyHistogram::LatencyHistogram()
    : counts_(boost::histogram::make_histogram(
          Axis(kBins, kLowestMillis, kHighestMillis))) {}

void LatencyHistogram::Add(std::chrono::microseconds latency) {
  counts_(ToMillis(latency));
  ++count_;
  max_ = std::max(max_, latency);
}

std::optional<double> LatencyHistogram::Quantile(double share) const {
  if (count_ == 0) {
    return std::nullopt;
  }
  const double wanted = std::max(1.0, std::ceil(share * double(count_)));
  double seen = counts_.at(-1);
  if (seen >= wanted) {
    return kLowestMillis;
  }
  for (int bin = 0; bin < counts_.axis().size(); ++bin) {
    seen += counts_.at(bin);
    if (seen >= wanted) {
      const auto edges = counts_.axis().bin(bin);
      // The middle of a bin may exceed the largest value in it.
      return std::min(std::sqrt(edges.lower() * edges.upper()), ToMillis(max_));
    }
  }
  return ToMillis(max_);
}

std::optional<double> LatencyHistogram::max_millis() const {
  if (count_ == 0) {
    return std::nullopt;
  }
  return ToMillis(max_);
}

}  // namespace gcw
