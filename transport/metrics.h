#ifndef TRANSPORT_METRICS_H_
#define TRANSPORT_METRICS_H_

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace gcw {

// Only ever grows. Thread-safe; one relaxed atomic addition.
class Counter {
 public:
  void Add(std::uint64_t amount = 1) {
    value_.fetch_add(amount, std::memory_order_relaxed);
  }
  std::uint64_t value() const { return value_.load(std::memory_order_relaxed); }

 private:
  std::atomic<std::uint64_t> value_ = 0;
};

// Goes up and down. Thread-safe.
class Gauge {
 public:
  void Set(std::int64_t value) {
    value_.store(value, std::memory_order_relaxed);
  }
  void Add(std::int64_t amount) {
    value_.fetch_add(amount, std::memory_order_relaxed);
  }
  std::int64_t value() const { return value_.load(std::memory_order_relaxed); }

 private:
  std::atomic<std::int64_t> value_ = 0;
};

// Buckets of equal width on a logarithmic scale. `min` must be positive.
struct BucketRange {
  double min = 1;
  double max = 100000;
  unsigned count = 30;
};

// A distribution kept in a Boost.Histogram with atomic cells. Thread-safe
// without a lock.
class Distribution {
 public:
  explicit Distribution(const BucketRange& range);
  ~Distribution();

  // Negative values count as 0; values that are not finite are ignored.
  void Record(double value);

  struct Bucket {
    // Values below this are in this bucket or an earlier one; infinite for the
    // last.
    double upper_bound;
    std::uint64_t count;
  };
  // Not cumulative; the first also has all values below the range.
  std::vector<Bucket> buckets() const;
  double sum() const { return sum_.load(std::memory_order_relaxed); }

 private:
  struct Cells;
  std::unique_ptr<Cells> cells_;
  std::atomic<double> sum_ = 0;
};

struct MetricSpec {
  // With its unit, such as "gcw_ttft_ms"; a counter's name ends in "_total".
  std::string name;
  std::string help;
  std::vector<std::string> label_names;
  // Label values may come from outside, as model names do; without a bound each
  // new value would take memory for good. Values past the bound share one set
  // whose labels are all "other".
  std::size_t max_label_sets = 256;
};

// All metrics of one name, one for each set of label values.
template <typename Metric>
class MetricFamily {
 public:
  // The metric for these label values, in the order of the label names; it
  // lives as long as the family. Takes a lock: keep the reference where the
  // path is hot.
  Metric& With(const std::vector<std::string>& label_values);

 private:
  friend class Metrics;
  using MakeMetric = std::function<std::unique_ptr<Metric>()>;
  MetricFamily(MetricSpec spec, MakeMetric make, Counter* overflows);

  MetricSpec spec_;
  MakeMetric make_;
  Counter* overflows_;
  mutable std::mutex mutex_;
  std::map<std::vector<std::string>, std::unique_ptr<Metric>> metrics_;
};

using CounterFamily = MetricFamily<Counter>;
using GaugeFamily = MetricFamily<Gauge>;
using DistributionFamily = MetricFamily<Distribution>;

// The metrics of one process. Thread-safe. Families are added at start; adding
// one name twice, or a name or label name that the text format refuses, ends
// the process, since only a mistake in the program can cause it.
class Metrics {
 public:
  Metrics();
  ~Metrics();
  Metrics(const Metrics&) = delete;
  Metrics& operator=(const Metrics&) = delete;

  CounterFamily& AddCounter(MetricSpec spec);
  GaugeFamily& AddGauge(MetricSpec spec);
  DistributionFamily& AddDistribution(MetricSpec spec, BucketRange range);

  // All metrics in the text exposition format, version 0.0.4.
  std::string Expose() const;

 private:
  using Family = std::variant<std::unique_ptr<CounterFamily>,
                              std::unique_ptr<GaugeFamily>,
                              std::unique_ptr<DistributionFamily>>;

  template <typename Metric>
  MetricFamily<Metric>& AddFamily(
      MetricSpec spec,
      std::function<std::unique_ptr<Metric>()> make);

  mutable std::mutex mutex_;
  std::map<std::string, Family> families_;
  // Uses of a family after its bound of label sets was reached.
  CounterFamily* overflows_ = nullptr;
};

}  // namespace gcw

#endif  // TRANSPORT_METRICS_H_
