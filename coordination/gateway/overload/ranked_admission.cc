#include "coordination/gateway/overload/ranked_admission.h"

#include <algorithm>

namespace gcw {

std::optional<DeferralReason> RankedAdmission::Classify(
    Time now,
    const ServiceId& service,
    const ModelId& model,
    Rank rank,
    Duration objective) const {
  const auto found = models_.find({service, model});
  // Callers can name any model, so state is kept only for models whose requests
  // were sent to an endpoint.
  if (found == models_.end()) {
    return std::nullopt;
  }
  const ModelState& state = found->second;
  int competing = 0;
  for (const auto& [other, rank_state] : state.ranks) {
    if (other > rank) {
      break;
    }
    competing += rank_state.waiting;
    const bool is_short_of_places =
        rank_state.waiting_deferred > 0 ||
        (rank_state.last_full &&
         now - *rank_state.last_full < settings_.precedence_time);
    if (other < rank && is_short_of_places) {
      return DeferralReason::kMoreUrgent;
    }
  }
  return competing < WindowOf(now, state, objective)
             ? std::nullopt
             : std::optional(DeferralReason::kWindow);
}

void RankedAdmission::OnWindowFull(Time now,
                                   const ServiceId& service,
                                   const ModelId& model,
                                   Rank rank) {
  StateFor(service, model).ranks[rank].last_full = now;
}

void RankedAdmission::OnWaitStarted(const ServiceId& service,
                                    const ModelId& model,
                                    Rank rank,
                                    Urgency urgency) {
  RankState& state = StateFor(service, model).ranks[rank];
  ++(urgency == Urgency::kDeferred ? state.waiting_deferred : state.waiting);
}

void RankedAdmission::OnWaitEnded(const ServiceId& service,
                                  const ModelId& model,
                                  Rank rank,
                                  Urgency urgency) {
  RankState& state = StateFor(service, model).ranks[rank];
  int& waiting =
      urgency == Urgency::kDeferred ? state.waiting_deferred : state.waiting;
  waiting = std::max(0, waiting - 1);
}

void RankedAdmission::OnStarted(Time now,
                                const ServiceId& service,
                                const ModelId& model) {
  std::deque<Time>& start_times = StateFor(service, model).start_times;
  start_times.push_back(now);
  while (now - start_times.front() > window_.rate_interval) {
    start_times.pop_front();
  }
}

double RankedAdmission::Window(Time now,
                               const ServiceId& service,
                               const ModelId& model,
                               Duration objective) const {
  const auto found = models_.find({service, model});
  return found == models_.end() ? window_.min_window
                                : WindowOf(now, found->second, objective);
}

double RankedAdmission::WindowOf(Time now,
                                 const ModelState& state,
                                 Duration objective) const {
  const auto recent =
      std::lower_bound(state.start_times.begin(), state.start_times.end(),
                       now - window_.rate_interval);
  const double objectives = static_cast<double>(objective.millis()) /
                            static_cast<double>(window_.rate_interval.millis());
  return std::max(window_.min_window,
                  static_cast<double>(state.start_times.end() - recent) *
                      objectives * window_.window_fraction);
}

}  // namespace gcw
