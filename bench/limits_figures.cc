// Computes the figures of `LimitsWorld` from its counters.

#include <algorithm>

#include "bench/limits_world.h"

namespace gcw::bench {
namespace {

constexpr double kMicrosPerSecond = 1e6;
// Five seconds in buckets of `kLimitsBucket`.
constexpr std::size_t kWindow = 50;
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
      static_cast<std::size_t>(settings_.warm_up / kLimitsBucket);
  const auto last = static_cast<std::size_t>(settings_.end / kLimitsBucket);
  double possible = 0;
  double admitted = 0;
  std::int64_t windows = 0;
  for (std::size_t i = first; i + kWindow <= last; ++i) {
    double in_window = 0;
    double allowed = 0;
    for (std::size_t j = i; j < i + kWindow; ++j) {
      in_window += static_cast<double>(admitted_[j]);
      allowed += LimitAt(static_cast<Micros>(j) * kLimitsBucket) *
                 static_cast<double>(kLimitsBucket) / kMicrosPerSecond;
    }
    const double over = std::max(0.0, in_window / allowed - 1);
    figures.over_worst = std::max(figures.over_worst, over);
    figures.over_mean += over;
    ++windows;
  }
  figures.over_mean /= static_cast<double>(windows);
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
    const double most =
        std::min(offered, LimitAt(static_cast<Micros>(i) * kLimitsBucket));
    possible += most;
    admitted += std::min(in_second, most);
  }
  figures.under_use = 1 - admitted / possible;
  figures.concurrency_over_worst =
      std::max(0.0, static_cast<double>(running_most_) /
                            static_cast<double>(settings_.concurrency_limit) -
                        1);
  figures.pending =
      asked_ == 0 ? 0
                  : static_cast<double>(waited_) / static_cast<double>(asked_);
  const double seconds =
      static_cast<double>(settings_.end - settings_.warm_up) / kMicrosPerSecond;
  for (const Node& node : nodes_) {
    figures.messages += static_cast<double>(node.messages) / seconds;
    figures.bytes += node.bytes / seconds;
    figures.bytes_worst_node =
        std::max(figures.bytes_worst_node, node.bytes / seconds);
    figures.cpu_worst_node = std::max(figures.cpu_worst_node,
                                      node.cpu_seconds * kMicrosPerSecond /
                                          static_cast<double>(settings_.end));
  }
  figures.messages /= static_cast<double>(nodes_.size());
  figures.bytes /= static_cast<double>(nodes_.size());
  return figures;
}

}  // namespace gcw::bench
