// Which requests are deferred before they are sent, and the counts of waiting
// and started requests that this is decided on.

#include <utility>

#include "coordination/gateway/forward_controller.h"
#include "coordination/gateway/placement/capacity_demand.h"

namespace gcw {
namespace {

RouteId IdOf(const RouteRule& route) {
  return RouteId(route.host + route.prefix);
}

}  // namespace

Urgency ForwardController::ClassifyArrival(Time now,
                                           OpenRequest& open_request) {
  open_request.deferral = FindDeferral(now, open_request);
  if (!open_request.deferral) {
    return Urgency::kOnTime;
  }
  ++deferral_counts_[{open_request.rank, *open_request.deferral}];
  return Urgency::kDeferred;
}

std::optional<DeferralReason> ForwardController::FindDeferral(
    Time now,
    OpenRequest& open_request) {
  const OverloadSettings& overload = settings_.overload;
  const RouteRule& route = *open_request.route;
  const ServiceId& service = open_request.service;
  const ModelId& model = open_request.request.model;
  if (overload.is_enabled && overload.defers_returning_callers &&
      !open_request.request.relay) {
    const RouteId id = IdOf(route);
    const std::optional<Duration> limit = open_request.request.caller_timeout;
    open_request.returned_after =
        returning_callers_.TimeSinceFirstSend(id, limit);
    returning_callers_.OnRequest(id, limit);
    if (open_request.returned_after >= route.latency_objective) {
      return DeferralReason::kReturned;
    }
  }
  const std::optional<DeferralReason> reason =
      PredictDeferral(now, open_request);
  if (open_request.is_ranked && reason == DeferralReason::kWindow) {
    ranked_admission_.OnWindowFull(now, service, model, open_request.rank);
  }
  if (!overload.is_enabled || !overload.limits_customers) {
    return reason;
  }
  if (reason == DeferralReason::kWindow) {
    customer_shares_.OnWindowFull(now, service, model);
  }
  customer_shares_.OnRequest(now, service, model, open_request.rank,
                             open_request.customer, !reason);
  return reason;
}

std::optional<DeferralReason> ForwardController::PredictDeferral(
    Time now,
    const OpenRequest& open_request) const {
  const OverloadSettings& overload = settings_.overload;
  const Duration objective = open_request.route->latency_objective;
  const ServiceId& service = open_request.service;
  const ModelId& model = open_request.request.model;
  if (open_request.is_ranked) {
    if (const auto reason = ranked_admission_.Classify(
            now, service, model, open_request.rank, objective)) {
      return reason;
    }
  } else if (deferral_policy_.Classify(now, service, model, objective) ==
             Urgency::kDeferred) {
    return DeferralReason::kWindow;
  }
  const bool has_had_share =
      overload.is_enabled && overload.limits_customers &&
      customer_shares_.HasHadShare(now, service, model, open_request.rank,
                                   open_request.customer);
  return has_had_share ? std::optional(DeferralReason::kCustomerShare)
                       : std::nullopt;
}

bool ForwardController::IsRanked(const OpenRequest& open_request) {
  if (!settings_.overload.is_enabled || !settings_.overload.admits_by_rank) {
    return false;
  }
  if (ranked_routes_ != open_request.routes) {
    ranked_routes_ = open_request.routes;
    ranked_services_ = FindRankedServices(ranked_routes_->configuration());
  }
  return ranked_services_.contains(open_request.service);
}

void ForwardController::StartWaiting(OpenRequest& open_request) {
  const bool is_prioritized = open_request.urgency == Urgency::kOnTime;
  const bool is_counted =
      is_prioritized || (open_request.is_ranked &&
                         open_request.deferral == DeferralReason::kWindow);
  if (!is_counted) {
    return;
  }
  open_request.waits_as = open_request.urgency;
  if (open_request.is_ranked) {
    ranked_admission_.OnWaitStarted(open_request.service,
                                    open_request.request.model,
                                    open_request.rank, open_request.urgency);
    return;
  }
  deferral_policy_.OnWaitStarted(open_request.service,
                                 open_request.request.model);
}

void ForwardController::StopWaiting(OpenRequest& open_request) {
  const std::optional<Urgency> urgency =
      std::exchange(open_request.waits_as, std::nullopt);
  if (!urgency) {
    return;
  }
  if (open_request.is_ranked) {
    ranked_admission_.OnWaitEnded(open_request.service,
                                  open_request.request.model, open_request.rank,
                                  *urgency);
    return;
  }
  deferral_policy_.OnWaitEnded(open_request.service,
                               open_request.request.model);
}

void ForwardController::RecordStart(Time now, OpenRequest& open_request) {
  StopWaiting(open_request);
  const bool is_first = !std::exchange(open_request.has_started, true);
  if (!is_first || !HasModels(open_request)) {
    return;
  }
  const ServiceId& service = open_request.service;
  const ModelId& model = open_request.request.model;
  if (open_request.is_ranked) {
    ranked_admission_.OnStarted(now, service, model);
  } else {
    deferral_policy_.OnStarted(now, service, model);
  }
  const bool is_in_time =
      now - open_request.arrived + open_request.returned_after <=
      open_request.route->latency_objective;
  if (settings_.overload.is_enabled && settings_.overload.limits_customers &&
      is_in_time) {
    customer_shares_.OnStartedInTime(now, service, model, open_request.rank);
  }
}

}  // namespace gcw
