// Computes the figures of `LimitsWorld` from its counters.

#include <algorithm>

#include "bench/limits_world.h"

namespace gcw::bench {
namespace {

constexpr double kMicrosPerSecond = 1e6;
// Five seconds in buckets of `kLimitsBucketWidth`.
constexpr std::size_t kWindowBuckets = 50;
constexpr std::size_t kSamplesPerSecond = 10;

}  // namespace

// Returns the limit accepted by then, which applies before all nodes know it.
// Nodes that still use a higher limit therefore count as over-admitting.
double LimitsWorld::LimitAt(Micros when) const {
  const bool is_changed = settings_.fault == LimitFault::kContractChanged &&
                          when >= settings_.fault_at;
  return is_changed ? settings_.limit / 2 : settings_.limit;
}

LimitsFigures LimitsWorld::Figures() const {
  LimitsFigures figures;
  const auto first =
      static_cast<std::size_t>(settings_.warm_up / kLimitsBucketWidth);
  const auto last =
      static_cast<std::size_t>(settings_.end / kLimitsBucketWidth);
  double total_admissible = 0;
  double admitted = 0;
  std::int64_t windows = 0;
  for (std::size_t i = first; i + kWindowBuckets <= last; ++i) {
    double in_window = 0;
    double allowed = 0;
    for (std::size_t j = i; j < i + kWindowBuckets; ++j) {
      in_window += static_cast<double>(admitted_[j]);
      allowed += LimitAt(static_cast<Micros>(j) * kLimitsBucketWidth) *
                 static_cast<double>(kLimitsBucketWidth) / kMicrosPerSecond;
    }
    const double excess = std::max(0.0, in_window / allowed - 1);
    figures.max_excess = std::max(figures.max_excess, excess);
    figures.mean_excess += excess;
    ++windows;
  }
  figures.mean_excess /= static_cast<double>(windows);
  // Counts per second, so that excess admissions in one second do not offset
  // refusals in another.
  for (std::size_t i = first; i + kSamplesPerSecond <= last;
       i += kSamplesPerSecond) {
    double offered = 0;
    double in_second = 0;
    for (std::size_t j = i; j < i + kSamplesPerSecond; ++j) {
      offered += static_cast<double>(offered_[j]);
      in_second += static_cast<double>(admitted_[j]);
    }
    const double admissible =
        std::min(offered, LimitAt(static_cast<Micros>(i) * kLimitsBucketWidth));
    total_admissible += admissible;
    admitted += std::min(in_second, admissible);
  }
  figures.under_use = 1 - admitted / total_admissible;
  figures.max_concurrency_excess =
      std::max(0.0, static_cast<double>(max_running_) /
                            static_cast<double>(settings_.concurrency_limit) -
                        1);
  figures.pending = share_requests_ == 0
                        ? 0
                        : static_cast<double>(pending_requests_) /
                              static_cast<double>(share_requests_);
  const double seconds =
      static_cast<double>(settings_.end - settings_.warm_up) / kMicrosPerSecond;
  for (const Node& node : nodes_) {
    figures.messages += static_cast<double>(node.messages) / seconds;
    figures.bytes += node.bytes / seconds;
    figures.max_node_bytes =
        std::max(figures.max_node_bytes, node.bytes / seconds);
    figures.max_node_cpu =
        std::max(figures.max_node_cpu, node.cpu_seconds * kMicrosPerSecond /
                                           static_cast<double>(settings_.end));
  }
  figures.messages /= static_cast<double>(nodes_.size());
  figures.bytes /= static_cast<double>(nodes_.size());
  return figures;
}

}  // namespace gcw::bench
