#include "coordination/gateway/deferral_policy.h"

#include <algorithm>
#include <cmath>

namespace gcw {

Urgency DeferralPolicy::Grade(const ServiceId& service, const ModelId& model) {
  const double part = deferred_part(service, model);
  return part > 0 && DrawUnit(random_) < part ? Urgency::kDeferred
                                              : Urgency::kOnTime;
}

void DeferralPolicy::OnBegan(const ServiceId& service,
                             const ModelId& model,
                             Urgency urgency,
                             double part_of_objective) {
  if (urgency == Urgency::kResumed) {
    return;
  }
  const double step = urgency == Urgency::kOnTime
                          ? StepOfOnTime(part_of_objective)
                          : StepOfDeferred(part_of_objective);
  const Key key(service, model);
  const double part =
      std::min(settings_.most_deferred, deferred_part(service, model) + step);
  if (part > 0) {
    parts_[key] = part;
  } else {
    parts_.erase(key);
  }
}

double DeferralPolicy::StepOfOnTime(double part_of_objective) const {
  if (part_of_objective > 1) {
    return settings_.step_up;
  }
  return part_of_objective <= settings_.early ? -settings_.step_down_early
                                              : -settings_.step_down;
}

double DeferralPolicy::StepOfDeferred(double part_of_objective) const {
  if (std::isinf(part_of_objective)) {
    return settings_.step_up_unbegun;
  }
  return part_of_objective > 1 ? -settings_.step_down_begun
                               : -settings_.step_down_deferred;
}

double DeferralPolicy::deferred_part(const ServiceId& service,
                                     const ModelId& model) const {
  const auto found = parts_.find(Key(service, model));
  return found == parts_.end() ? 0 : found->second;
}

}  // namespace gcw
