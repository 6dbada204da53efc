#include "coordination/requests/request_desk.h"

#include <algorithm>
#include <utility>

namespace gcw {
namespace {

// An attempt that broke in one of these ways may have taken its endpoint along.
bool MayHaveLostEndpoint(const AttemptBroke& broke) {
  if (broke.progress == AttemptProgress::kNothingSent) {
    return false;
  }
  return broke.kind == AttemptBreakKind::kReset ||
         broke.kind == AttemptBreakKind::kSilent ||
         broke.kind == AttemptBreakKind::kTruncated;
}

// The process that the attempt went to is gone, or no longer part of the
// replica group that it was chosen for.
bool IsGone(const Endpoint& endpoint, const ProbeReply& reply) {
  if (const auto* failed = std::get_if<ProbeFailed>(&reply)) {
    return failed->failure == ProbeFailure::kRefused;
  }
  const auto* status = std::get_if<EngineStatus>(&reply);
  return status != nullptr && (status->generation != endpoint.generation ||
                               status->state == EngineState::kFailed);
}

AttemptPolicy PolicyFor(const RequestProfile& profile, int most_attempts) {
  AttemptPolicy policy;
  policy.repeatable = profile.repeatable;
  policy.resumable = std::holds_alternative<ModelTarget>(profile.target);
  policy.most_attempts = most_attempts;
  policy.deadline = profile.deadline;
  return policy;
}

}  // namespace

RequestDesk::RequestDesk(RequestDeskSettings settings,
                         RequestModules modules,
                         std::string attempt_prefix,
                         EventSink events)
    : settings_(settings),
      modules_(std::move(modules)),
      attempt_prefix_(std::move(attempt_prefix)),
      events_(std::move(events)) {}

RequestDeskActions RequestDesk::OnArrived(Time now,
                                          const CallerArrived& arrived) {
  RequestProfile profile = arrived.profile;
  const Contract* contract = modules_.admission->FindContract(arrived.key);
  if (contract != nullptr) {
    profile.contract = contract->id;
    profile.tier = contract->tier;
    profile.rank = contract->rank;
  }
  const RequestId id = profile.id;
  AttemptLog log(PolicyFor(profile, settings_.most_attempts));
  Request& request =
      requests_.try_emplace(id, std::move(profile), std::move(log))
          .first->second;
  deadlines_.emplace(request.profile.deadline, id);
  if (contract == nullptr) {
    GiveUp(now, request, RefusalKind::kUnknownKey);
  } else if (refusal_) {
    GiveUp(now, request, *refusal_);
  } else if (IsKeyed(request.profile)) {
    // The claim comes before the limits: a second send that the limits refuse
    // would be told "not run" although the first one may have run.
    request.phase = Phase::kClaiming;
    Apply(now,
          modules_.once->Start(now, OnceSend{id, request.profile.contract,
                                             request.profile.idempotency_key,
                                             request.profile.fingerprint,
                                             request.profile.deadline}));
  } else {
    Offer(now, request);
  }
  return TakeActions();
}

RequestDeskActions RequestDesk::OnCallerGone(Time now, const RequestId& id) {
  Request* request = Find(id);
  if (request == nullptr) {
    return TakeActions();
  }
  request->abandoned = true;
  Report(*request, EventKind::kRequestCancelled, {});
  if (!request->attempt) {
    Forget(now, id, TokenCount());
    return TakeActions();
  }
  // A claimed request goes on, so that a second send gets its answer.
  if (!request->claimed && request->phase == Phase::kRunning) {
    actions_.emplace_back(NodeAction(CancelAttempt{id, request->attempt->id}));
  }
  return TakeActions();
}

RequestDeskActions RequestDesk::OnFirstByte(Time now,
                                            const AttemptFirstByte& first) {
  Request* request = Find(first.request);
  if (request != nullptr && request->attempt &&
      request->attempt->id == first.attempt && !request->attempt->first_byte) {
    request->attempt->first_byte = true;
    modules_.router->OnFirstByte(now, request->attempt->ticket);
  }
  return TakeActions();
}

RequestDeskActions RequestDesk::OnEnded(Time now, const AttemptEnded& ended) {
  Request* request = Find(ended.request);
  if (request == nullptr || !request->attempt ||
      request->attempt->id != ended.attempt ||
      request->phase != Phase::kRunning) {
    return TakeActions();
  }
  std::visit(
      Overloaded{
          [&](const AttemptAnswered& answered) {
            OnAnswered(now, *request, answered);
          },
          [&](const AttemptRefused&) {
            EndAttempt(now, *request, false);
            Settle(now, *request,
                   AttemptFailure{AttemptProgress::kMaybeSent, true});
          },
          [&](const AttemptBroke& broke) { OnBroke(now, *request, broke); }},
      ended.end);
  return TakeActions();
}

RequestDeskActions RequestDesk::OnChecked(Time now,
                                          ProbeId id,
                                          const ProbeReply& reply) {
  const auto check = checks_.find(id);
  if (check == checks_.end()) {
    return TakeActions();
  }
  const bool failed = std::holds_alternative<ProbeFailed>(reply);
  const bool gone = IsGone(check->second.endpoint, reply);
  FinishCheck(now, id, gone, !failed && !gone);
  return TakeActions();
}

RequestDeskActions RequestDesk::OnAdmission(
    Time now,
    const std::vector<AdmissionAction>& actions) {
  Apply(now, actions);
  return TakeActions();
}

RequestDeskActions RequestDesk::OnOnce(Time now,
                                       const OnceClientActions& actions) {
  Apply(now, actions);
  return TakeActions();
}

RequestDeskActions RequestDesk::OnGuard(Time now, const GuardActions& actions) {
  Apply(now, actions);
  return TakeActions();
}

RequestDeskActions RequestDesk::Tick(Time now) {
  while (!deadlines_.empty() && deadlines_.begin()->first <= now) {
    const RequestId id = deadlines_.begin()->second;
    deadlines_.erase(deadlines_.begin());
    Request* request = Find(id);
    if (request == nullptr) {
      continue;
    }
    if (request->attempt && request->phase == Phase::kRunning) {
      actions_.emplace_back(
          NodeAction(CancelAttempt{id, request->attempt->id}));
      continue;
    }
    GiveUp(now, *request, RefusalKind::kDeadline);
  }
  std::vector<ProbeId> late;
  for (const auto& [id, check] : checks_) {
    if (check.give_up <= now) {
      late.push_back(id);
    }
  }
  for (const ProbeId& id : late) {
    FinishCheck(now, id, false, false);
  }
  return TakeActions();
}

void RequestDesk::SetRefusal(std::optional<RefusalKind> refusal) {
  refusal_ = refusal;
}

RequestDesk::Request* RequestDesk::Find(const RequestId& id) {
  const auto found = requests_.find(id);
  return found == requests_.end() ? nullptr : &found->second;
}

bool RequestDesk::IsKeyed(const RequestProfile& profile) const {
  return !profile.repeatable && !profile.idempotency_key.empty();
}

void RequestDesk::Offer(Time now, Request& request) {
  request.phase = Phase::kOffered;
  Apply(now, modules_.admission->Offer(now, request.profile));
}

void RequestDesk::StartAttempt(Time now, Request& request) {
  if (now >= request.profile.deadline) {
    GiveUp(now, request, RefusalKind::kDeadline);
    return;
  }
  const GuardVerdict verdict =
      modules_.guard->Judge(now, request.profile.fingerprint);
  if (std::holds_alternative<GuardBlocked>(verdict)) {
    GiveUp(now, request, RefusalKind::kFingerprintBlocked);
    return;
  }
  if (std::holds_alternative<GuardSuspect>(verdict)) {
    AskPermit(now, request);
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

// A node that was paused wakes up with endpoints that opened long ago, and may
// get here before its next tick; so the gate is asked once more, and an
// endpoint without fresh evidence is left out.
std::optional<Route> RequestDesk::ChooseRoute(Time now,
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

void RequestDesk::AskPermit(Time now, Request& request) {
  std::vector<EndpointId> excluded = request.excluded;
  std::vector<EndpointId> candidates;
  while (candidates.size() < settings_.permit_candidates) {
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
  Apply(now, modules_.guard->AskPermit(now, id, request.profile.fingerprint,
                                       std::move(candidates)));
}

void RequestDesk::Dispatch(Time now,
                           Request& request,
                           const Route& route,
                           AttemptId id) {
  if (!MayLeave(now, request)) {
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
  actions_.emplace_back(RequestStartedAt{attempt.endpoint.id});
  actions_.emplace_back(NodeAction(DispatchAttempt{
      request.profile.id, attempt.id, attempt.endpoint, request.priority,
      request.profile.deadline,
      request.claimed
          ? std::min(request.profile.deadline,
                     request.profile.arrived + settings_.grant_time_to_live)
          : request.profile.deadline,
      request.resume_from, !request.profile.repeatable, request.claimed}));
  request.phase = Phase::kRunning;
  request.attempt = std::move(attempt);
}

AttemptId RequestDesk::NextAttemptId() {
  return AttemptId(attempt_prefix_ + std::to_string(++last_attempt_));
}

bool RequestDesk::MayLeave(Time now, Request& request) {
  return !request.claimed || modules_.once->MayWrite(now, request.profile.id);
}

void RequestDesk::EndAttempt(Time now, Request& request, bool completed) {
  const Attempt attempt = std::move(*request.attempt);
  request.attempt.reset();
  attempts_.erase(attempt.id);
  actions_.emplace_back(RequestEndedAt{attempt.endpoint.id});
  if (!completed) {
    request.excluded.push_back(attempt.endpoint.id);
  }
  Apply(now, modules_.guard->OnFinished(now, attempt.id, completed));
}

void RequestDesk::OnAnswered(Time now,
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

void RequestDesk::OnBroke(Time now,
                          Request& request,
                          const AttemptBroke& broke) {
  const bool cancelled = request.abandoned || request.preempted;
  if (cancelled || broke.kind == AttemptBreakKind::kWithheld ||
      broke.kind == AttemptBreakKind::kDeadline) {
    modules_.router->OnCancelled(now, request.attempt->ticket);
  } else {
    modules_.router->OnFailed(now, request.attempt->ticket);
  }
  request.broke = broke;
  if (broke.kind == AttemptBreakKind::kConnectRefused) {
    actions_.emplace_back(EndpointFoundLost{request.attempt->endpoint.id});
  }
  if (!cancelled && MayHaveLostEndpoint(broke)) {
    StartCheck(now, request);
    return;
  }
  EndAttempt(now, request, false);
  Settle(now, request, AttemptFailure{broke.progress, false});
}

void RequestDesk::StartCheck(Time now, Request& request) {
  request.phase = Phase::kChecking;
  const Endpoint& endpoint = request.attempt->endpoint;
  const auto running = check_of_.find(endpoint.id);
  if (running != check_of_.end()) {
    checks_.at(running->second).waiting.push_back(request.profile.id);
    return;
  }
  const ProbeId id = ++last_probe_;
  check_of_.emplace(endpoint.id, id);
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

void RequestDesk::FinishCheck(Time now, ProbeId id, bool lost, bool alive) {
  const auto found = checks_.find(id);
  if (found == checks_.end()) {
    return;
  }
  const Check check = std::move(found->second);
  checks_.erase(found);
  check_of_.erase(check.endpoint.id);
  if (alive) {
    actions_.emplace_back(NodeAction(DropConnections{check.endpoint.address}));
  } else {
    actions_.emplace_back(EndpointFoundLost{check.endpoint.id});
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
    Settle(now, *request, AttemptFailure{request->broke->progress, false});
  }
}

void RequestDesk::Settle(Time now,
                         Request& request,
                         const AttemptFailure& failure) {
  const RequestId id = request.profile.id;
  if (request.broke) {
    const TokenCount news = request.broke->delivered - request.log.delivered();
    if (news > TokenCount()) {
      request.log.OnPiece(request.last_attempt, request.log.delivered(), news);
    }
  }
  const AttemptDecision decision =
      request.log.OnFailed(now, request.last_attempt, failure);
  request.broke.reset();
  if (request.abandoned) {
    request.outcome = request.log.may_have_run() ? OnceOutcome(OnceMayHaveRun{})
                                                 : OnceOutcome(OnceNotRun{});
    Forget(now, id, request.log.delivered());
    return;
  }
  if (request.preempted) {
    actions_.emplace_back(
        NodeAction(TellPreempted{id, settings_.preempted_retry_after}));
    Report(request, EventKind::kTrialPreempted, {});
    Forget(now, id, request.log.delivered());
    return;
  }
  Conclude(now, request, decision);
}

void RequestDesk::TryAgain(Time now,
                           Request& request,
                           const AttemptAgain& again) {
  const FailedAttempt failed{request.attempts, !request.log.may_have_run(),
                             Duration()};
  const RetryVerdict verdict =
      modules_.retries->Spend(now, request.profile, failed);
  if (verdict != RetryVerdict::kAllowed) {
    GiveUp(now, request, RefusalKind::kRetryBudget);
    return;
  }
  request.resume_from = again.resume_from;
  StartAttempt(now, request);
}

void RequestDesk::GiveUp(Time now, Request& request, RefusalKind reason) {
  Conclude(now, request, request.log.GiveUp(reason));
}

void RequestDesk::Conclude(Time now,
                           Request& request,
                           const AttemptDecision& decision) {
  const RequestId id = request.profile.id;
  std::visit(
      Overloaded{
          [&](const AttemptAgain& again) { TryAgain(now, request, again); },
          [&](const TellNotRun& told) {
            TellRefusal(now, request,
                        Refusal{told.reason,
                                modules_.retry_after->Plan(now, told.reason)});
          },
          [&](const TellOutcomeUnknown&) {
            request.outcome = OnceMayHaveRun{};
            actions_.emplace_back(NodeAction(TellUnknown{id}));
            Report(request, EventKind::kRequestOutcomeUnknown, {});
            Forget(now, id, request.log.delivered());
          },
          [&](const TellBroken&) {
            request.outcome = OnceMayHaveRun{};
            actions_.emplace_back(NodeAction(TellStreamBroken{id}));
            Report(request, EventKind::kRequestOutcomeUnknown,
                   {{"delivered", request.log.delivered().value()}});
            Forget(now, id, request.log.delivered());
          },
          [](const AttemptPending&) {}, [](const AttemptIgnored&) {}},
      decision);
}

void RequestDesk::TellRefusal(Time now, Request& request, Refusal refusal) {
  const RequestId id = request.profile.id;
  request.outcome = OnceNotRun{};
  Report(request, EventKind::kRequestRefused,
         {{"reason", std::string(RefusalKindName(refusal.kind))},
          {"retry_after_ms", refusal.retry_after.millis()}});
  actions_.emplace_back(NodeAction(TellRefused{id, refusal}));
  Forget(now, id, TokenCount());
}

void RequestDesk::Forget(Time now, const RequestId& id, TokenCount generated) {
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

void RequestDesk::Apply(Time now, const std::vector<AdmissionAction>& actions) {
  for (const AdmissionAction& action : actions) {
    Apply(now, action);
  }
}

void RequestDesk::Apply(Time now, const OnceClientActions& actions) {
  for (const OnceClientAction& action : actions) {
    Apply(now, action);
  }
}

void RequestDesk::Apply(Time now, const GuardActions& actions) {
  for (const GuardAction& action : actions) {
    Apply(now, action);
  }
}

void RequestDesk::Apply(Time now, const AdmissionAction& action) {
  std::visit(Overloaded{[&](const Admit& admit) {
                          Request* request = Find(admit.request);
                          if (request == nullptr) {
                            return;
                          }
                          request->admitted = true;
                          request->priority = admit.priority;
                          request->allowed = admit.endpoints == nullptr
                                                 ? std::vector<EndpointId>()
                                                 : *admit.endpoints;
                          Report(*request, EventKind::kRequestAdmitted, {});
                          StartAttempt(now, *request);
                        },
                        [&](const Queued& queued) {
                          if (Request* request = Find(queued.request)) {
                            Report(*request, EventKind::kRequestQueued, {});
                          }
                        },
                        [&](const Refuse& refuse) {
                          if (Request* request = Find(refuse.request)) {
                            TellRefusal(now, *request, refuse.refusal);
                          }
                        },
                        [&](const PreemptTrial& preempt) {
                          if (Request* request = Find(preempt.request)) {
                            Preempt(now, *request);
                          }
                        }},
             action);
}

void RequestDesk::Apply(Time now, const OnceClientAction& action) {
  std::visit(
      Overloaded{[&](const OncePeerSend& send) { actions_.emplace_back(send); },
                 [&](const OnceRun& run) {
                   if (Request* request = Find(run.request)) {
                     request->claimed = true;
                     Report(*request, EventKind::kOnceClaimed, {});
                     Offer(now, *request);
                   }
                 },
                 [&](const OnceReplay& replay) {
                   if (Request* request = Find(replay.request)) {
                     request->phase = Phase::kOffered;
                     Report(*request, EventKind::kOnceReplayed, {});
                     actions_.emplace_back(
                         NodeAction(TellReplay{replay.request, replay.answer}));
                     Forget(now, replay.request, TokenCount());
                   }
                 },
                 [&](const OnceRefuse& refuse) {
                   if (Request* request = Find(refuse.request)) {
                     request->phase = Phase::kOffered;
                     Report(*request, EventKind::kOnceRefused, {});
                     TellRefusal(now, *request, refuse.refusal);
                   }
                 },
                 [&](const OnceTellEarlier& earlier) {
                   if (Request* request = Find(earlier.request)) {
                     request->phase = Phase::kOffered;
                     Report(*request, EventKind::kOnceRefused, {});
                     actions_.emplace_back(NodeAction(
                         TellEarlierSend{earlier.request, earlier.certain}));
                     Forget(now, earlier.request, TokenCount());
                   }
                 }},
      action);
}

void RequestDesk::Apply(Time now, const GuardAction& action) {
  const auto request_of = [this](const AttemptId& attempt) -> Request* {
    const auto found = attempts_.find(attempt);
    if (found == attempts_.end()) {
      return nullptr;
    }
    Request* request = Find(found->second);
    attempts_.erase(found);
    return request != nullptr && request->phase == Phase::kAwaitingPermit
               ? request
               : nullptr;
  };
  std::visit(
      Overloaded{
          [&](const GuardPermit& permit) {
            Request* request = request_of(permit.attempt);
            if (request == nullptr) {
              return;
            }
            const std::vector<EndpointId> only = {permit.endpoint};
            const Result<Route, RefusalKind> route =
                modules_.router->ChooseAmong(now, request->profile,
                                             request->excluded, only);
            if (!IsOk(route)) {
              GiveUp(now, *request, ErrorOf(route));
              return;
            }
            Dispatch(now, *request, ValueOf(route), permit.attempt);
          },
          [&](const GuardRefuse& refuse) {
            if (Request* request = request_of(refuse.attempt)) {
              GiveUp(now, *request, refuse.refusal.kind);
            }
          },
          [&](const GuardSpread& spread) { actions_.emplace_back(spread); },
          [&](const GuardPeerSend& send) { actions_.emplace_back(send); }},
      action);
}

void RequestDesk::Preempt(Time now, Request& request) {
  const RequestId id = request.profile.id;
  if (!request.attempt) {
    GiveUp(now, request, RefusalKind::kTrialNoHeadroom);
    return;
  }
  request.preempted = true;
  if (request.phase == Phase::kRunning) {
    actions_.emplace_back(NodeAction(CancelAttempt{id, request.attempt->id}));
  }
}

void RequestDesk::Report(Request& request,
                         EventKind kind,
                         std::vector<EventField> fields) {
  request.last_event = events_(EventDraft{
      kind, request.profile.id.value(), request.last_event, std::move(fields)});
}

RequestDeskActions RequestDesk::TakeActions() {
  return std::exchange(actions_, {});
}

}  // namespace gcw
