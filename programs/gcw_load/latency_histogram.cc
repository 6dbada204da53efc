#include "programs/gcw_load/latency_histogram.h"

#include <algorithm>
#include <cmath>

namespace gcw {
namespace {

constexpr double kMinMillis = 0.01;
constexpr double kMaxMillis = 1e6;
constexpr unsigned kBins = 800;
constexpr double kMicrosPerMilli = 1000;

double ToMillis(std::chrono::microseconds time) {
  return static_cast<double>(time.count()) / kMicrosPerMilli;
}

}  // namespace

LatencyHistogram::LatencyHistogram()
    : counts_(boost::histogram::make_histogram(
          Axis(kBins, kMinMillis, kMaxMillis))) {}

void LatencyHistogram::Add(std::chrono::microseconds latency) {
  counts_(ToMillis(latency));
  ++count_;
  max_ = std::max(max_, latency);
}

std::optional<double> LatencyHistogram::Quantile(double share) const {
  if (count_ == 0) {
    return std::nullopt;
  }
  const double target_count = std::max(1.0, std::ceil(share * double(count_)));
  double cumulative_count = counts_.at(-1);
  if (cumulative_count >= target_count) {
    return kMinMillis;
  }
  for (int bin = 0; bin < counts_.axis().size(); ++bin) {
    cumulative_count += counts_.at(bin);
    if (cumulative_count >= target_count) {
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
