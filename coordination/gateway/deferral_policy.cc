#include "coordination/gateway/deferral_policy.h"

#include <algorithm>
#include <iterator>

namespace gcw {

Urgency DeferralPolicy::Classify(Time now,
                                 const ServiceId& service,
                                 const ModelId& model,
                                 Duration objective) const {
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
                              Duration objective) const {
  const auto found = models_.find({service, model});
  if (found == models_.end()) {
    return settings_.min_window;
  }
  const std::deque<Time>& start_times = found->second.start_times;
  const auto recent = std::lower_bound(start_times.begin(), start_times.end(),
                                       now - settings_.rate_interval);
  const auto starts =
      static_cast<double>(std::distance(recent, start_times.end()));
  const double objectives =
      static_cast<double>(objective.millis()) /
      static_cast<double>(settings_.rate_interval.millis());
  return std::max(settings_.min_window,
                  starts * objectives * settings_.window_fraction);
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
  std::deque<Time>& start_times = StateFor(service, model).start_times;
  while (!start_times.empty() &&
         now - start_times.front() > settings_.rate_interval) {
    start_times.pop_front();
  }
  start_times.push_back(now);
}

}  // namespace gcw
