// The part of `RequestPipeline` that applies the decisions of the other
// modules.

#include "coordination/requests/request_pipeline.h"

#include <algorithm>
#include <utility>

namespace gcw {

void RequestPipeline::Apply(Time now,
                            const std::vector<AdmissionAction>& actions) {
  for (const AdmissionAction& action : actions) {
    Apply(now, action);
  }
}

void RequestPipeline::Apply(Time now, const OnceClientActions& actions) {
  for (const OnceClientAction& action : actions) {
    Apply(now, action);
  }
}

void RequestPipeline::Apply(Time now, const GuardActions& actions) {
  for (const GuardAction& action : actions) {
    Apply(now, action);
  }
}

void RequestPipeline::Apply(Time now, const AdmissionAction& action) {
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

void RequestPipeline::Apply(Time now, const OnceClientAction& action) {
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
                     actions_.emplace_back(NodeAction(
                         RespondReplay{replay.request, replay.answer}));
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
                 [&](const OnceReportEarlier& earlier) {
                   if (Request* request = Find(earlier.request)) {
                     request->phase = Phase::kOffered;
                     Report(*request, EventKind::kOnceRefused, {});
                     actions_.emplace_back(NodeAction(
                         RespondDuplicate{earlier.request, earlier.certain}));
                     Forget(now, earlier.request, TokenCount());
                   }
                 }},
      action);
}

void RequestPipeline::Apply(Time now, const GuardAction& action) {
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
          [&](const GuardBroadcast& spread) { actions_.emplace_back(spread); },
          [&](const GuardPeerSend& send) { actions_.emplace_back(send); }},
      action);
}

void RequestPipeline::Preempt(Time now, Request& request) {
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

}  // namespace gcw
