#include "coordination/gateway/deferral_policy.h"

#include <algorithm>

namespace gcw {

Urgency DeferralPolicy::Grade(Time now,
                              const ServiceId& service,
                              const ModelId& model,
                              Duration objective) {
  const auto found = waiting_.find({service, model});
  // Callers can name any model, so state is kept only for models whose requests
  // were sent to an endpoint.
  if (found == waiting_.end()) {
    return Urgency::kOnTime;
  }
  const Waiting& waiting = found->second;
  return waiting.requests < Window(now, service, model, objective)
             ? Urgency::kOnTime
             : Urgency::kDeferred;
}

double DeferralPolicy::Window(Time now,
                              const ServiceId& service,
                              const ModelId& model,
                              Duration objective) {
  std::deque<Time>& begun = At(service, model).begun;
  while (!begun.empty() && now - begun.front() > settings_.rate_span) {
    begun.pop_front();
  }
  const double objectives = static_cast<double>(objective.millis()) /
                            static_cast<double>(settings_.rate_span.millis());
  return std::max(
      settings_.least_window,
      static_cast<double>(begun.size()) * objectives * settings_.window_part);
}

void DeferralPolicy::OnWaits(const ServiceId& service, const ModelId& model) {
  ++At(service, model).requests;
}

void DeferralPolicy::OnWaitOver(const ServiceId& service,
                                const ModelId& model) {
  Waiting& waiting = At(service, model);
  waiting.requests = std::max(0, waiting.requests - 1);
}

void DeferralPolicy::OnBegan(Time now,
                             const ServiceId& service,
                             const ModelId& model) {
  At(service, model).begun.push_back(now);
}

}  // namespace gcw
