#include "coordination/requests/request_pipeline.h"

#include <algorithm>
#include <utility>

namespace gcw {
namespace {

// True if the process that the attempt went to is gone, or no longer belongs to
// the replica group that it was chosen for.
bool IsEndpointGone(const Endpoint& endpoint, const ProbeReply& reply) {
  if (const auto* failed = std::get_if<ProbeFailed>(&reply)) {
    return failed->failure == ProbeFailure::kRefused;
  }
  const auto* status = std::get_if<EngineStatus>(&reply);
  return status != nullptr && (status->generation != endpoint.generation ||
                               status->state == EngineState::kFailed);
}

AttemptPolicy PolicyFor(const RequestProfile& profile, int max_attempts) {
  AttemptPolicy policy;
  policy.repeatable = profile.repeatable;
  policy.resumable = std::holds_alternative<ModelTarget>(profile.target);
  policy.max_attempts = max_attempts;
  policy.deadline = profile.deadline;
  return policy;
}

}  // namespace

RequestPipeline::RequestPipeline(RequestPipelineSettings settings,
                                 RequestModules modules,
                                 std::string attempt_prefix,
                                 EventSink events)
    : settings_(settings),
      modules_(std::move(modules)),
      attempt_prefix_(std::move(attempt_prefix)),
      events_(std::move(events)) {}

RequestPipelineActions RequestPipeline::OnArrived(
    Time now,
    const CallerArrived& arrived) {
  RequestProfile profile = arrived.profile;
  const Contract* contract = modules_.admission->FindContract(arrived.key);
  if (contract != nullptr) {
    profile.contract = contract->id;
    profile.tier = contract->tier;
    profile.rank = contract->rank;
  }
  const RequestId id = profile.id;
  AttemptLog log(PolicyFor(profile, settings_.max_attempts));
  Request& request =
      requests_.try_emplace(id, std::move(profile), std::move(log))
          .first->second;
  deadlines_.emplace(request.profile.deadline, id);
  if (contract == nullptr) {
    GiveUp(now, request, RefusalKind::kUnknownKey);
  } else if (refusal_) {
    GiveUp(now, request, *refusal_);
  } else if (IsKeyed(request.profile)) {
    // The claim comes before the limits. Otherwise a second send that the
    // limits refuse would be told "not run" although the first one may have
    // run.
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

RequestPipelineActions RequestPipeline::OnCallerGone(Time now,
                                                     const RequestId& id) {
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
  // A claimed request continues without its caller, so that a second send gets
  // its answer.
  if (!request->claimed && request->phase == Phase::kRunning) {
    actions_.emplace_back(NodeAction(CancelAttempt{id, request->attempt->id}));
  }
  return TakeActions();
}

RequestPipelineActions RequestPipeline::OnFirstByte(
    Time now,
    const AttemptFirstByte& first) {
  Request* request = Find(first.request);
  if (request != nullptr && request->attempt &&
      request->attempt->id == first.attempt && !request->attempt->first_byte) {
    request->attempt->first_byte = true;
    modules_.router->OnFirstByte(now, request->attempt->ticket);
  }
  return TakeActions();
}

RequestPipelineActions RequestPipeline::OnEnded(Time now,
                                                const AttemptEnded& ended) {
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
            OnAttemptFailed(now, *request,
                            AttemptFailure{AttemptProgress::kMaybeSent, true});
          },
          [&](const AttemptFailed& failed) { OnBroke(now, *request, failed); }},
      ended.end);
  return TakeActions();
}

RequestPipelineActions RequestPipeline::OnProbeReply(Time now,
                                                     ProbeId id,
                                                     const ProbeReply& reply) {
  const auto check = checks_.find(id);
  if (check == checks_.end()) {
    return TakeActions();
  }
  const bool failed = std::holds_alternative<ProbeFailed>(reply);
  const bool gone = IsEndpointGone(check->second.endpoint, reply);
  FinishCheck(now, id, gone, !failed && !gone);
  return TakeActions();
}

RequestPipelineActions RequestPipeline::OnAdmissionActions(
    Time now,
    const std::vector<AdmissionAction>& actions) {
  Apply(now, actions);
  return TakeActions();
}

RequestPipelineActions RequestPipeline::OnOnceActions(
    Time now,
    const OnceClientActions& actions) {
  Apply(now, actions);
  return TakeActions();
}

RequestPipelineActions RequestPipeline::OnGuardActions(
    Time now,
    const GuardActions& actions) {
  Apply(now, actions);
  return TakeActions();
}

RequestPipelineActions RequestPipeline::Tick(Time now) {
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

void RequestPipeline::SetRefusal(std::optional<RefusalKind> refusal) {
  refusal_ = refusal;
}

RequestPipeline::Request* RequestPipeline::Find(const RequestId& id) {
  const auto found = requests_.find(id);
  return found == requests_.end() ? nullptr : &found->second;
}

bool RequestPipeline::IsKeyed(const RequestProfile& profile) const {
  return !profile.repeatable && !profile.idempotency_key.empty();
}

void RequestPipeline::Offer(Time now, Request& request) {
  request.phase = Phase::kOffered;
  Apply(now, modules_.admission->Offer(now, request.profile));
}

void RequestPipeline::Report(Request& request,
                             EventKind kind,
                             std::vector<EventField> fields) {
  request.last_event = events_(EventDraft{
      kind, request.profile.id.value(), request.last_event, std::move(fields)});
}

RequestPipelineActions RequestPipeline::TakeActions() {
  return std::exchange(actions_, {});
}

}  // namespace gcw
