// The part of `RequestPipeline` that starts and ends attempts and decides on
// retries.

#include "coordination/requests/request_pipeline.h"

#include <algorithm>
#include <utility>

namespace gcw {
namespace {

// True if an attempt that broke this way may have taken its endpoint down.
bool MayHaveLostEndpoint(const AttemptFailed& failed) {
  if (failed.progress == AttemptProgress::kNothingSent) {
    return false;
  }
  return failed.kind == AttemptFailureKind::kReset ||
         failed.kind == AttemptFailureKind::kStalled ||
         failed.kind == AttemptFailureKind::kTruncated;
}

}  // namespace

void RequestPipeline::StartAttempt(Time now, Request& request) {
  if (now >= request.profile.deadline) {
    GiveUp(now, request, RefusalKind::kDeadline);
    return;
  }
  const GuardVerdict verdict =
      modules_.guard->Classify(now, request.profile.fingerprint);
  if (std::holds_alternative<GuardBlocked>(verdict)) {
    GiveUp(now, request, RefusalKind::kFingerprintBlocked);
    return;
  }
  if (std::holds_alternative<GuardSuspect>(verdict)) {
    RequestPermit(now, request);
    return;
  }
  if (const auto* pinned = std::get_if<GuardPinned>(&verdict)) {
    const std::vector<EndpointId> only = {pinned->endpoint};
    const Result<Route, RefusalKind> route = modules_.router->ChooseAmong(
        now, request.profile, request.excluded, only);
    if (IsOk(route)) {
      Dispatch(now, request, ValueOf(route), NextAttemptId());
      return;
    }
  }
  RefusalKind reason = RefusalKind::kNoEndpoint;
  const std::optional<Route> route = ChooseRoute(now, request, reason);
  if (!route) {
    GiveUp(now, request, reason);
    return;
  }
  Dispatch(now, request, *route, NextAttemptId());
}

// Checks the serving gate again and excludes endpoints that fail the check: a
// node that resumes from a pause may get here before its next tick, with
// endpoints that opened long ago and have no fresh evidence.
std::optional<Route> RequestPipeline::ChooseRoute(Time now,
                                                  Request& request,
                                                  RefusalKind& reason) {
  while (true) {
    const Result<Route, RefusalKind> route = modules_.router->ChooseAmong(
        now, request.profile, request.excluded, request.allowed);
    if (!IsOk(route)) {
      reason = ErrorOf(route);
      return std::nullopt;
    }
    const EndpointId& endpoint = ValueOf(route).endpoint->id;
    if (modules_.is_open(now, endpoint)) {
      return ValueOf(route);
    }
    request.excluded.push_back(endpoint);
  }
}

void RequestPipeline::RequestPermit(Time now, Request& request) {
  std::vector<EndpointId> excluded = request.excluded;
  std::vector<EndpointId> candidates;
  while (candidates.size() < settings_.max_permit_candidates) {
    const Result<Route, RefusalKind> route =
        modules_.router->Choose(now, request.profile, excluded);
    if (!IsOk(route)) {
      break;
    }
    candidates.push_back(ValueOf(route).endpoint->id);
    excluded.push_back(candidates.back());
  }
  if (candidates.empty()) {
    GiveUp(now, request, RefusalKind::kNoEndpoint);
    return;
  }
  const AttemptId id = NextAttemptId();
  attempts_.emplace(id, request.profile.id);
  request.phase = Phase::kAwaitingPermit;
  Apply(now, modules_.guard->RequestPermit(now, id, request.profile.fingerprint,
                                           std::move(candidates)));
}

void RequestPipeline::Dispatch(Time now,
                               Request& request,
                               const Route& route,
                               AttemptId id) {
  if (!MayDispatch(now, request)) {
    GiveUp(now, request, RefusalKind::kOnceUnavailable);
    return;
  }
  Attempt attempt;
  attempt.id = std::move(id);
  request.last_attempt = attempt.id;
  attempt.endpoint = *route.endpoint;
  if (!request.log.Start(now, attempt.id) ||
      !request.log.MayWrite(now, attempt.id)) {
    GiveUp(now, request, RefusalKind::kDeadline);
    return;
  }
  attempt.ticket = modules_.router->OnDispatched(now, route, request.profile);
  modules_.guard->OnStarted(now, attempt.id, request.profile.fingerprint,
                            attempt.endpoint.id);
  modules_.admission->OnDispatched(request.profile.id, attempt.endpoint.id);
  ++request.attempts;
  if (request.attempts == 1) {
    modules_.retries->OnFirstAttempt(now, request.profile.contract);
  }
  Report(request,
         request.attempts == 1 ? EventKind::kRequestDispatched
                               : EventKind::kRequestRetried,
         {{"endpoint", attempt.endpoint.id.value()},
          {"attempt", attempt.id.value()}});
  attempts_.emplace(attempt.id, request.profile.id);
  actions_.emplace_back(RequestStartedOnEndpoint{attempt.endpoint.id});
  actions_.emplace_back(NodeAction(DispatchAttempt{
      request.profile.id, attempt.id, attempt.endpoint, request.priority,
      request.profile.deadline,
      request.claimed ? std::min(request.profile.deadline,
                                 request.profile.arrived + settings_.grant_ttl)
                      : request.profile.deadline,
      request.resume_from, !request.profile.repeatable, request.claimed}));
  request.phase = Phase::kRunning;
  request.attempt = std::move(attempt);
}

AttemptId RequestPipeline::NextAttemptId() {
  return AttemptId(attempt_prefix_ + std::to_string(++last_attempt_));
}

bool RequestPipeline::MayDispatch(Time now, Request& request) {
  return !request.claimed || modules_.once->MayWrite(now, request.profile.id);
}

void RequestPipeline::EndAttempt(Time now, Request& request, bool completed) {
  const Attempt attempt = std::move(*request.attempt);
  request.attempt.reset();
  attempts_.erase(attempt.id);
  actions_.emplace_back(RequestEndedOnEndpoint{attempt.endpoint.id});
  if (!completed) {
    request.excluded.push_back(attempt.endpoint.id);
  }
  Apply(now, modules_.guard->OnFinished(now, attempt.id, completed));
}

void RequestPipeline::OnAnswered(Time now,
                                 Request& request,
                                 const AttemptAnswered& answered) {
  const RequestId id = request.profile.id;
  modules_.router->OnFinished(now, request.attempt->ticket, answered.generated);
  request.log.OnAnswered(request.attempt->id);
  EndAttempt(now, request, true);
  if (answered.answer) {
    request.outcome = OnceAnswered{*answered.answer};
  } else {
    request.outcome = OnceAnsweredTooLarge{};
  }
  Report(request, EventKind::kRequestFinished,
         {{"tokens", answered.generated.value()}});
  Forget(now, id, answered.generated);
}

void RequestPipeline::OnBroke(Time now,
                              Request& request,
                              const AttemptFailed& failed) {
  const bool cancelled = request.abandoned || request.preempted;
  if (cancelled || failed.kind == AttemptFailureKind::kWithheld ||
      failed.kind == AttemptFailureKind::kDeadline) {
    modules_.router->OnCancelled(now, request.attempt->ticket);
  } else {
    modules_.router->OnFailed(now, request.attempt->ticket);
  }
  request.unprobed_failure = failed;
  if (failed.kind == AttemptFailureKind::kConnectRefused) {
    actions_.emplace_back(EndpointLossDetected{request.attempt->endpoint.id});
  }
  if (!cancelled && MayHaveLostEndpoint(failed)) {
    StartCheck(now, request);
    return;
  }
  EndAttempt(now, request, false);
  OnAttemptFailed(now, request, AttemptFailure{failed.progress, false});
}

void RequestPipeline::StartCheck(Time now, Request& request) {
  request.phase = Phase::kChecking;
  const Endpoint& endpoint = request.attempt->endpoint;
  const auto running = check_by_endpoint_.find(endpoint.id);
  if (running != check_by_endpoint_.end()) {
    checks_.at(running->second).waiting.push_back(request.profile.id);
    return;
  }
  const ProbeId id = ++last_probe_;
  check_by_endpoint_.emplace(endpoint.id, id);
  checks_.emplace(
      id,
      Check{endpoint, {request.profile.id}, now + settings_.check_timeout * 2});
  ProbeVm probe;
  probe.id = id;
  probe.purpose = endpoint.service.empty() ? VmPurpose::kModelEngine
                                           : VmPurpose::kPlainService;
  probe.address = endpoint.address;
  probe.timeout = settings_.check_timeout;
  actions_.emplace_back(
      NodeAction(SendProbe{NodeModule::kRequests, std::move(probe)}));
}

void RequestPipeline::FinishCheck(Time now, ProbeId id, bool lost, bool alive) {
  const auto found = checks_.find(id);
  if (found == checks_.end()) {
    return;
  }
  const Check check = std::move(found->second);
  checks_.erase(found);
  check_by_endpoint_.erase(check.endpoint.id);
  if (alive) {
    actions_.emplace_back(NodeAction(DropConnections{check.endpoint.address}));
  } else {
    actions_.emplace_back(EndpointLossDetected{check.endpoint.id});
  }
  if (lost) {
    Apply(now, modules_.guard->OnEndpointLost(now, check.endpoint.id));
  }
  for (const RequestId& waiting : check.waiting) {
    Request* request = Find(waiting);
    if (request == nullptr || request->phase != Phase::kChecking) {
      continue;
    }
    EndAttempt(now, *request, false);
    OnAttemptFailed(now, *request,
                    AttemptFailure{request->unprobed_failure->progress, false});
  }
}

void RequestPipeline::OnAttemptFailed(Time now,
                                      Request& request,
                                      const AttemptFailure& failure) {
  const RequestId id = request.profile.id;
  if (request.unprobed_failure) {
    const TokenCount news =
        request.unprobed_failure->delivered - request.log.delivered();
    if (news > TokenCount()) {
      request.log.OnPiece(request.last_attempt, request.log.delivered(), news);
    }
  }
  const AttemptDecision decision =
      request.log.OnFailed(now, request.last_attempt, failure);
  request.unprobed_failure.reset();
  if (request.abandoned) {
    request.outcome = request.log.may_have_run() ? OnceOutcome(OnceMayHaveRun{})
                                                 : OnceOutcome(OnceNotRun{});
    Forget(now, id, request.log.delivered());
    return;
  }
  if (request.preempted) {
    actions_.emplace_back(
        NodeAction(RespondPreempted{id, settings_.preempted_retry_after}));
    Report(request, EventKind::kTrialPreempted, {});
    Forget(now, id, request.log.delivered());
    return;
  }
  Conclude(now, request, decision);
}

void RequestPipeline::Retry(Time now,
                            Request& request,
                            const AttemptRetry& again) {
  const FailedAttempt failed{request.attempts, !request.log.may_have_run(),
                             Duration()};
  const RetryVerdict verdict =
      modules_.retries->TrySpend(now, request.profile, failed);
  if (verdict != RetryVerdict::kAllowed) {
    GiveUp(now, request, RefusalKind::kRetryBudget);
    return;
  }
  request.resume_from = again.resume_from;
  StartAttempt(now, request);
}

void RequestPipeline::GiveUp(Time now, Request& request, RefusalKind reason) {
  Conclude(now, request, request.log.GiveUp(reason));
}

void RequestPipeline::Conclude(Time now,
                               Request& request,
                               const AttemptDecision& decision) {
  const RequestId id = request.profile.id;
  std::visit(
      Overloaded{[&](const AttemptRetry& again) { Retry(now, request, again); },
                 [&](const TellNotRun& told) {
                   TellRefusal(now, request,
                               Refusal{told.reason, modules_.retry_after->Plan(
                                                        now, told.reason)});
                 },
                 [&](const TellOutcomeUnknown&) {
                   request.outcome = OnceMayHaveRun{};
                   actions_.emplace_back(NodeAction(RespondOutcomeUnknown{id}));
                   Report(request, EventKind::kRequestOutcomeUnknown, {});
                   Forget(now, id, request.log.delivered());
                 },
                 [&](const TellBroken&) {
                   request.outcome = OnceMayHaveRun{};
                   actions_.emplace_back(NodeAction(RespondStreamBroken{id}));
                   Report(request, EventKind::kRequestOutcomeUnknown,
                          {{"delivered", request.log.delivered().value()}});
                   Forget(now, id, request.log.delivered());
                 },
                 [](const AttemptPending&) {}, [](const AttemptIgnored&) {}},
      decision);
}

void RequestPipeline::TellRefusal(Time now, Request& request, Refusal refusal) {
  const RequestId id = request.profile.id;
  request.outcome = OnceNotRun{};
  Report(request, EventKind::kRequestRefused,
         {{"reason", std::string(RefusalKindName(refusal.kind))},
          {"retry_after_ms", refusal.retry_after.millis()}});
  actions_.emplace_back(NodeAction(RespondRefused{id, refusal}));
  Forget(now, id, TokenCount());
}

void RequestPipeline::Forget(Time now,
                             const RequestId& id,
                             TokenCount generated) {
  const auto found = requests_.find(id);
  const Request request = std::move(found->second);
  requests_.erase(found);
  if (request.admitted) {
    Apply(now, modules_.admission->OnFinished(now, id, generated));
  } else {
    modules_.admission->OnAbandoned(id);
  }
  if (request.claimed) {
    Apply(now, modules_.once->Finish(now, id, request.outcome));
  } else if (request.phase == Phase::kClaiming) {
    Apply(now, modules_.once->Abandon(now, id));
  }
}

}  // namespace gcw
