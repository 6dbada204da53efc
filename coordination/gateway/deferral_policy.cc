#include "coordination/gateway/deferral_policy.h"

#include <algorithm>

namespace gcw {

Urgency DeferralPolicy::Classify(Time now,
                                 const ServiceId& service,
                                 const ModelId& model,
                                 Duration objective) {
  const auto found = models_.find({service, model});
  // Callers can name any model, so state is kept only for models whose requests
  // were sent to an endpoint.
  if (found == models_.end()) {
    return Urgency::kOnTime;
  }
  const ModelState& state = found->second;
  return state.waiting < Window(now, service, model, objective)
             ? Urgency::kOnTime
             : Urgency::kDeferred;
}

double DeferralPolicy::Window(Time now,
                              const ServiceId& service,
                              const ModelId& model,
                              Duration objective) {
  std::deque<Time>& start_times = StateFor(service, model).start_times;
  while (!start_times.empty() &&
         now - start_times.front() > settings_.rate_interval) {
    start_times.pop_front();
  }
  const double objectives =
      static_cast<double>(objective.millis()) /
      static_cast<double>(settings_.rate_interval.millis());
  return std::max(settings_.min_window,
                  static_cast<double>(start_times.size()) * objectives *
                      settings_.window_fraction);
}

void DeferralPolicy::OnWaitStarted(const ServiceId& service,
                                   const ModelId& model) {
  ++StateFor(service, model).waiting;
}

void DeferralPolicy::OnWaitEnded(const ServiceId& service,
                                 const ModelId& model) {
  ModelState& state = StateFor(service, model);
  state.waiting = std::max(0, state.waiting - 1);
}

void DeferralPolicy::OnStarted(Time now,
                               const ServiceId& service,
                               const ModelId& model) {
  StateFor(service, model).start_times.push_back(now);
}

}  // namespace gcw
