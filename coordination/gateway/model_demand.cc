#include "coordination/gateway/model_demand.h"

#include <algorithm>
#include <cmath>

namespace gcw {

void ModelDemand::OnFill(Time now, const ModelId& model, double fill) {
  const auto [it, is_new] = estimates_.try_emplace(model);
  Estimate& estimate = it->second;
  if (is_new) {
    estimate = {fill, now};
    return;
  }
  const double passed = static_cast<double>((now - estimate.updated).millis()) /
                        static_cast<double>(settings_.memory.millis());
  const double kept = std::exp(-std::max(0.0, passed));
  estimate.fill = kept * estimate.fill + (1 - kept) * fill;
  estimate.updated = now;
}

EngineProfile ModelDemand::ApplyTo(const EngineProfile& profile) const {
  EngineProfile corrected = profile;
  double total = 0;
  for (ModelProfile& model : corrected.models) {
    const auto estimate = estimates_.find(model.model);
    if (estimate != estimates_.end()) {
      model.work_share *=
          std::clamp(estimate->second.fill / settings_.shortage_fill, 1.0,
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
