#include "transport/metrics.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <limits>
#include <regex>
#include <sstream>
#include <utility>

#include <glog/logging.h>
#include <boost/histogram.hpp>

#include "protocol/protocol.h"

namespace gcw {
namespace {

namespace histogram = boost::histogram;

using Axis = histogram::axis::regular<double, histogram::axis::transform::log>;
using Cell = histogram::accumulators::count<std::uint64_t, true>;
using Storage = histogram::dense_storage<Cell>;
using Histogram = histogram::histogram<std::tuple<Axis>, Storage>;

constexpr std::string_view kOverflowLabel = "other";

struct Label {
  std::string_view name;
  std::string_view value;
};

std::string FormatNumber(double number) {
  if (number == std::numeric_limits<double>::infinity()) {
    return "+Inf";
  }
  char text[32];
  const auto result = std::to_chars(std::begin(text), std::end(text), number);
  return std::string(std::begin(text), result.ptr);
}

// Escapes each of `specials` with a backslash, and a line break as "\n".
std::string Escape(std::string_view text, std::string_view specials) {
  std::string escaped;
  for (const char letter : ReplaceInvalidUtf8(text)) {
    if (letter == '\n') {
      escaped += "\\n";
      continue;
    }
    if (specials.find(letter) != std::string_view::npos) {
      escaped += '\\';
    }
    escaped += letter;
  }
  return escaped;
}

std::string EscapeHelp(std::string_view text) {
  return Escape(text, "\\");
}

std::string EscapeLabelValue(std::string_view text) {
  return Escape(text, "\\\"");
}

void CheckName(const std::string& name) {
  static const std::regex* const pattern =
      new std::regex("[a-zA-Z_][a-zA-Z0-9_]*");
  CHECK(std::regex_match(name, *pattern)) << "not a metric's name: " << name;
}

class TextExposition {
 public:
  void BeginFamily(const MetricSpec& spec, std::string_view type) {
    out_ << "# HELP " << spec.name << ' ' << EscapeHelp(spec.help) << '\n'
         << "# TYPE " << spec.name << ' ' << type << '\n';
  }

  void BeginSet(const MetricSpec& spec,
                const std::vector<std::string>& values) {
    name_ = spec.name;
    labels_.clear();
    for (std::size_t index = 0; index < values.size(); ++index) {
      labels_.push_back({spec.label_names[index], values[index]});
    }
  }

  void Write(const Counter& counter) {
    WriteSample("", labels_, std::to_string(counter.value()));
  }

  void Write(const Gauge& gauge) {
    WriteSample("", labels_, std::to_string(gauge.value()));
  }

  void Write(const Distribution& distribution) {
    std::uint64_t cumulative = 0;
    for (const Distribution::Bucket& bucket : distribution.buckets()) {
      cumulative += bucket.count;
      const std::string bound = FormatNumber(bucket.upper_bound);
      std::vector<Label> labels = labels_;
      labels.push_back({"le", bound});
      WriteSample("_bucket", labels, std::to_string(cumulative));
    }
    WriteSample("_sum", labels_, FormatNumber(distribution.sum()));
    WriteSample("_count", labels_, std::to_string(cumulative));
  }

  std::string Take() { return std::move(out_).str(); }

 private:
  void WriteSample(std::string_view suffix,
                   const std::vector<Label>& labels,
                   const std::string& value) {
    out_ << name_ << suffix;
    char separator = '{';
    for (const Label& label : labels) {
      out_ << separator << label.name << "=\"" << EscapeLabelValue(label.value)
           << '"';
      separator = ',';
    }
    out_ << (labels.empty() ? " " : "} ") << value << '\n';
  }

  std::ostringstream out_;
  std::string name_;
  std::vector<Label> labels_;
};

constexpr std::string_view TypeName(const Counter*) {
  return "counter";
}
constexpr std::string_view TypeName(const Gauge*) {
  return "gauge";
}
constexpr std::string_view TypeName(const Distribution*) {
  return "histogram";
}

}  // namespace

struct Distribution::Cells {
  explicit Cells(const BucketRange& range)
      : values(histogram::make_histogram_with(
            Storage(),
            Axis(range.count, range.min, range.max))) {}

  Histogram values;
};

Distribution::Distribution(const BucketRange& range)
    : cells_(std::make_unique<Cells>(range)) {}

Distribution::~Distribution() = default;

void Distribution::Record(double value) {
  // A single NaN would make the sum NaN permanently.
  if (!std::isfinite(value)) {
    return;
  }
  const double counted = std::max(value, 0.0);
  cells_->values(counted);
  sum_.fetch_add(counted, std::memory_order_relaxed);
}

std::vector<Distribution::Bucket> Distribution::buckets() const {
  const Axis& axis = cells_->values.axis();
  const auto count_at = [this](int index) {
    return cells_->values.at(index).value();
  };
  std::vector<Bucket> buckets;
  buckets.reserve(static_cast<std::size_t>(axis.size()) + 2);
  // The cell at -1 holds the values below the range, the cell at `size` those
  // above it.
  for (int index = -1; index < axis.size(); ++index) {
    buckets.push_back({axis.value(index + 1), count_at(index)});
  }
  buckets.push_back(
      {std::numeric_limits<double>::infinity(), count_at(axis.size())});
  return buckets;
}

template <typename Metric>
MetricFamily<Metric>::MetricFamily(MetricSpec spec,
                                   MakeMetric make,
                                   Counter* overflows)
    : spec_(std::move(spec)), make_(std::move(make)), overflows_(overflows) {}

template <typename Metric>
Metric& MetricFamily<Metric>::With(
    const std::vector<std::string>& label_values) {
  CHECK_EQ(label_values.size(), spec_.label_names.size()) << spec_.name;
  const std::lock_guard lock(mutex_);
  const auto found = metrics_.find(label_values);
  if (found != metrics_.end()) {
    return *found->second;
  }
  if (metrics_.size() < spec_.max_label_sets) {
    return *metrics_.emplace(label_values, make_()).first->second;
  }
  if (overflows_ != nullptr) {
    overflows_->Add();
  }
  const std::vector<std::string> others(label_values.size(),
                                        std::string(kOverflowLabel));
  std::unique_ptr<Metric>& shared = metrics_[others];
  if (shared == nullptr) {
    shared = make_();
  }
  return *shared;
}

template class MetricFamily<Counter>;
template class MetricFamily<Gauge>;
template class MetricFamily<Distribution>;

Metrics::Metrics() {
  overflows_ = &AddCounter({"gcw_metrics_label_overflow_total",
                            "Uses of a metric whose label sets are used up.",
                            {"metric"},
                            std::numeric_limits<std::size_t>::max()});
}

Metrics::~Metrics() = default;

CounterFamily& Metrics::AddCounter(MetricSpec spec) {
  return AddFamily<Counter>(std::move(spec),
                            [] { return std::make_unique<Counter>(); });
}

GaugeFamily& Metrics::AddGauge(MetricSpec spec) {
  return AddFamily<Gauge>(std::move(spec),
                          [] { return std::make_unique<Gauge>(); });
}

DistributionFamily& Metrics::AddDistribution(MetricSpec spec,
                                             BucketRange range) {
  return AddFamily<Distribution>(std::move(spec), [range] {
    return std::make_unique<Distribution>(range);
  });
}

template <typename Metric>
MetricFamily<Metric>& Metrics::AddFamily(
    MetricSpec spec,
    std::function<std::unique_ptr<Metric>()> make) {
  CheckName(spec.name);
  std::for_each(spec.label_names.begin(), spec.label_names.end(), CheckName);
  Counter* const overflows =
      overflows_ == nullptr ? nullptr : &overflows_->With({spec.name});
  const std::string name = spec.name;
  auto family = std::unique_ptr<MetricFamily<Metric>>(
      new MetricFamily<Metric>(std::move(spec), std::move(make), overflows));
  MetricFamily<Metric>& added = *family;
  const std::lock_guard lock(mutex_);
  const bool is_new = families_.emplace(name, std::move(family)).second;
  CHECK(is_new) << "metric added twice: " << name;
  return added;
}

std::string Metrics::Expose() const {
  TextExposition exposition;
  const auto write_family =
      [&exposition]<typename Metric>(
          const std::unique_ptr<MetricFamily<Metric>>& family) {
        const std::lock_guard lock(family->mutex_);
        exposition.BeginFamily(family->spec_,
                               TypeName(static_cast<const Metric*>(nullptr)));
        for (const auto& [values, metric] : family->metrics_) {
          exposition.BeginSet(family->spec_, values);
          exposition.Write(*metric);
        }
      };
  const std::lock_guard lock(mutex_);
  for (const auto& [name, family] : families_) {
    std::visit(write_family, family);
  }
  return exposition.Take();
}

}  // namespace gcw
