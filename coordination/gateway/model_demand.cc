#include "coordination/gateway/model_demand.h"

#include <algorithm>
#include <cmath>

namespace gcw {

void ModelDemand::OnUtilization(Time now,
                                const ModelId& model,
                                double utilization) {
  const auto [it, is_new] = estimates_.try_emplace(model);
  Estimate& estimate = it->second;
  if (is_new) {
    estimate = {utilization, now};
    return;
  }
  const double elapsed =
      static_cast<double>((now - estimate.updated).millis()) /
      static_cast<double>(settings_.averaging_time.millis());
  const double old_weight = std::exp(-std::max(0.0, elapsed));
  estimate.utilization =
      old_weight * estimate.utilization + (1 - old_weight) * utilization;
  estimate.updated = now;
}

EngineProfile ModelDemand::ApplyTo(const EngineProfile& profile) const {
  EngineProfile corrected = profile;
  double total = 0;
  for (ModelProfile& model : corrected.models) {
    const auto estimate = estimates_.find(model.model);
    if (estimate != estimates_.end()) {
      model.work_share *= std::clamp(
          estimate->second.utilization / settings_.shortage_utilization, 1.0,
          settings_.max_growth);
    }
    total += model.work_share;
  }
  if (total <= 0) {
    return profile;
  }
  for (ModelProfile& model : corrected.models) {
    model.work_share /= total;
  }
  return corrected;
}

}  // namespace gcw
