#ifndef PROGRAMS_GCW_LOAD_LATENCY_HISTOGRAM_H_
#define PROGRAMS_GCW_LOAD_LATENCY_HISTOGRAM_H_

#include <chrono>
#include <cstdint>
#include <optional>

#include <boost/histogram.hpp>

namespace gcw {

// Histogram of latencies from 10 us to 1000 s in logarithmic bins, 100 to a
// power of ten, so that a quantile is exact to 2.4 %. Latencies out of range
// count at the edge.
class LatencyHistogram {
 public:
  LatencyHistogram();

  void Add(std::chrono::microseconds latency);

  std::int64_t count() const { return count_; }
  // Both in milliseconds, absent if the histogram is empty. `share` is from 0
  // to 1.
  std::optional<double> Quantile(double share) const;
  std::optional<double> max_millis() const;

 private:
  using Axis =
      boost::histogram::axis::regular<double,
                                      boost::histogram::axis::transform::log>;
  using Counts =
      decltype(boost::histogram::make_histogram(std::declval<Axis>()));

  Counts counts_;
  std::int64_t count_ = 0;
  std::chrono::microseconds max_ = {};
};

}  // namespace gcw

#endif  // PROGRAMS_GCW_LOAD_LATENCY_HISTOGRAM_H_
