#include "coordination/gateway/balancing/load_estimator.h"

#include <algorithm>

namespace gcw {
namespace {

// Returns the fraction of the reported requests that have not ended since. A
// group with a queue takes longer to turn over what it holds.
double Weight(const GroupLoad& load) {
  const double fill = load.known->requests / load.slots;
  const double turnover_ms = load.service_ms * std::max(1.0, fill);
  const auto age_ms = static_cast<double>(load.known->age.millis());
  return turnover_ms > 0 ? std::max(0.0, 1 - age_ms / turnover_ms) : 0;
}

}  // namespace

void LoadEstimator::Add(const GroupLoad& load) {
  if (load.known) {
    requests_ += load.known->requests;
    slots_ += load.slots;
  }
}

std::optional<double> LoadEstimator::mean_fill() const {
  return slots_ > 0 ? std::optional(requests_ / slots_) : std::nullopt;
}

std::optional<double> LoadEstimator::Estimate(const GroupLoad& load) const {
  const std::optional<double> fill = mean_fill();
  if (!fill) {
    return std::nullopt;
  }
  const double mean = *fill * load.slots;
  double estimate = std::min(mean, load.slots);
  if (load.known) {
    const double weight = Weight(load);
    estimate = weight * load.known->requests + (1 - weight) * mean;
  }
  return std::max(load.local_requests, estimate);
}

}  // namespace gcw
