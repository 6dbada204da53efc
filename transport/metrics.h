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

// A monotonic counter. Thread-safe; adding is one relaxed atomic operation.
class Counter {
 public:
  void Add(std::uint64_t amount = 1) {
    value_.fetch_add(amount, std::memory_order_relaxed);
  }
  std::uint64_t value() const { return value_.load(std::memory_order_relaxed); }

 private:
  std::atomic<std::uint64_t> value_ = 0;
};

// A value that can rise and fall. Thread-safe.
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

// A histogram with atomic cells, based on Boost.Histogram. Thread-safe without
// a lock.
class Distribution {
 public:
  explicit Distribution(const BucketRange& range);
  ~Distribution();

  // Negative values count as 0; values that are not finite are ignored.
  void Record(double value);

  struct Bucket {
    // Values below this bound are in this bucket or an earlier one; infinite
    // for the last bucket.
    double upper_bound;
    std::uint64_t count;
  };
  // The counts are not cumulative. The first bucket holds all values below the
  // range.
  std::vector<Bucket> buckets() const;
  double sum() const { return sum_.load(std::memory_order_relaxed); }

 private:
  struct Cells;
  std::unique_ptr<Cells> cells_;
  std::atomic<double> sum_ = 0;
};

struct MetricSpec {
  // The name includes the unit, such as "gcw_ttft_ms"; a counter's name ends in
  // "_total".
  std::string name;
  std::string help;
  std::vector<std::string> label_names;
  // Label values may come from callers, as model names do, and each new value
  // takes memory until the process ends. Values beyond this limit share one set
  // whose labels are all "other".
  std::size_t max_label_sets = 256;
};

// The metrics of one name, with one metric per set of label values.
template <typename Metric>
class MetricFamily {
 public:
  // Returns the metric for these label values, given in the order of the label
  // names. The reference is valid for the lifetime of the family. Takes a lock,
  // so hot paths should keep the reference.
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

// The metrics of one process. Thread-safe. Families are added at start. Adding
// a name twice, or a metric or label name that the text format does not allow,
// is a programming error and ends the process.
class Metrics {
 public:
  Metrics();
  ~Metrics();
  Metrics(const Metrics&) = delete;
  Metrics& operator=(const Metrics&) = delete;

  CounterFamily& AddCounter(MetricSpec spec);
  GaugeFamily& AddGauge(MetricSpec spec);
  DistributionFamily& AddDistribution(MetricSpec spec, BucketRange range);

  // Returns all metrics in the text exposition format, version 0.0.4.
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
  // Counts, by family, the uses after its limit of label sets was reached.
  CounterFamily* overflows_ = nullptr;
};

}  // namespace gcw

#endif  // TRANSPORT_METRICS_H_
