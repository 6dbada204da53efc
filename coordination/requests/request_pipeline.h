#ifndef COORDINATION_REQUESTS_REQUEST_PIPELINE_H_
#define COORDINATION_REQUESTS_REQUEST_PIPELINE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "coordination/admission/admission.h"
#include "coordination/at_most_once/once_client.h"
#include "coordination/node/node_actions.h"
#include "coordination/node/node_events.h"
#include "coordination/requests/attempt_log.h"
#include "coordination/requests/fingerprint_guard.h"
#include "coordination/requests/retry_after.h"
#include "coordination/requests/retry_budget.h"
#include "coordination/routing/router.h"

namespace gcw {

struct RequestPipelineSettings {
  int max_attempts = 3;
  // Number of endpoints that a suspect offers to the permit issuer as
  // candidates.
  std::size_t max_permit_candidates = 3;
  // Time within which an endpoint must answer a liveness probe after an attempt
  // there broke.
  Duration check_timeout = Duration::Millis(500);
  // A request that may not be repeated must be written within this time of its
  // first claim. See `OnceClientSettings::grant_ttl`.
  Duration grant_ttl = Duration::Seconds(30);
  // Retry-after delay for a trial request that was preempted.
  Duration preempted_retry_after = Duration::Seconds(5);
};

// The modules that decide on requests. All of them outlive `RequestPipeline`.
struct RequestModules {
  Admission* admission = nullptr;
  Router* router = nullptr;
  OnceClient* once = nullptr;
  FingerprintGuard* guard = nullptr;
  RetryBudget* retries = nullptr;
  RetryAfterPlanner* retry_after = nullptr;
  // Returns whether the endpoint's serving gate is open at that time.
  std::function<bool(Time, const EndpointId&)> is_open;
};

// An endpoint was found to be lost when an attempt there broke.
struct EndpointLossDetected {
  EndpointId endpoint;
};
struct RequestStartedOnEndpoint {
  EndpointId endpoint;
};
struct RequestEndedOnEndpoint {
  EndpointId endpoint;
};

using RequestPipelineAction = std::variant<NodeAction,
                                           EndpointLossDetected,
                                           RequestStartedOnEndpoint,
                                           RequestEndedOnEndpoint,
                                           OncePeerSend,
                                           GuardBroadcast,
                                           GuardPeerSend>;
using RequestPipelineActions = std::vector<RequestPipelineAction>;

// Takes each request of a caller through claim, admission, routing, attempts
// and retries to exactly one final answer.
class RequestPipeline {
 public:
  // `attempt_prefix` makes attempt ids unique over nodes and their
  // incarnations.
  RequestPipeline(RequestPipelineSettings settings,
                  RequestModules modules,
                  std::string attempt_prefix,
                  EventSink events);

  RequestPipelineActions OnArrived(Time now, const CallerArrived& arrived);
  RequestPipelineActions OnCallerGone(Time now, const RequestId& request);
  RequestPipelineActions OnFirstByte(Time now, const AttemptFirstByte& first);
  RequestPipelineActions OnEnded(Time now, const AttemptEnded& ended);
  RequestPipelineActions OnProbeReply(Time now,
                                      ProbeId id,
                                      const ProbeReply& reply);

  RequestPipelineActions OnAdmissionActions(
      Time now,
      const std::vector<AdmissionAction>& actions);
  RequestPipelineActions OnOnceActions(Time now,
                                       const OnceClientActions& actions);
  RequestPipelineActions OnGuardActions(Time now, const GuardActions& actions);
  RequestPipelineActions Tick(Time now);

  // Refuses new requests for this reason from now on, or accepts them again if
  // it is nullopt.
  void SetRefusal(std::optional<RefusalKind> refusal);
  std::size_t open_requests() const { return requests_.size(); }
  bool Contains(const RequestId& request) const {
    return requests_.contains(request);
  }

 private:
  enum class Phase {
    kClaiming,
    kOffered,
    kAwaitingPermit,
    kRunning,
    // The attempt broke, and a probe checks whether its endpoint is alive.
    kChecking,
  };
  struct Attempt {
    AttemptId id;
    Endpoint endpoint;
    DispatchTicket ticket;
    bool first_byte = false;
  };
  struct Request {
    Request(RequestProfile with_profile, AttemptLog with_log)
        : profile(std::move(with_profile)), log(std::move(with_log)) {}

    RequestProfile profile;
    AttemptLog log;
    Phase phase = Phase::kOffered;
    // A claim was granted, and its outcome must be reported.
    bool claimed = false;
    bool admitted = false;
    // The caller disconnected and gets no answer.
    bool abandoned = false;
    bool preempted = false;
    EnginePriority priority;
    // Endpoints to which a trial request may go. Empty means any endpoint.
    std::vector<EndpointId> allowed;
    std::vector<EndpointId> excluded;
    std::optional<Attempt> attempt;
    // The most recently dispatched attempt.
    AttemptId last_attempt;
    std::int64_t attempts = 0;
    TokenCount resume_from;
    // The failure of an attempt that waits for the endpoint's probe.
    std::optional<AttemptFailed> unprobed_failure;
    OnceOutcome outcome = OnceNotRun{};
    EventId last_event;
  };
  struct Check {
    Endpoint endpoint;
    std::vector<RequestId> waiting;
    Time give_up;
  };

  Request* Find(const RequestId& id);
  bool IsKeyed(const RequestProfile& profile) const;
  void Offer(Time now, Request& request);
  void StartAttempt(Time now, Request& request);
  std::optional<Route> ChooseRoute(Time now,
                                   Request& request,
                                   RefusalKind& reason);
  void RequestPermit(Time now, Request& request);
  void Dispatch(Time now, Request& request, const Route& route, AttemptId id);
  AttemptId NextAttemptId();
  bool MayDispatch(Time now, Request& request);
  void EndAttempt(Time now, Request& request, bool completed);
  void OnAnswered(Time now, Request& request, const AttemptAnswered& answered);
  void OnBroke(Time now, Request& request, const AttemptFailed& failed);
  void StartCheck(Time now, Request& request);
  void FinishCheck(Time now, ProbeId id, bool lost, bool alive);
  void OnAttemptFailed(Time now,
                       Request& request,
                       const AttemptFailure& failure);
  void Retry(Time now, Request& request, const AttemptRetry& again);
  void GiveUp(Time now, Request& request, RefusalKind reason);
  void Conclude(Time now, Request& request, const AttemptDecision& decision);
  void TellRefusal(Time now, Request& request, Refusal refusal);
  // Reports the request's end to the other modules and removes it.
  void Forget(Time now, const RequestId& id, TokenCount generated);
  void Apply(Time now, const std::vector<AdmissionAction>& actions);
  void Apply(Time now, const OnceClientActions& actions);
  void Apply(Time now, const GuardActions& actions);
  void Apply(Time now, const AdmissionAction& action);
  void Apply(Time now, const OnceClientAction& action);
  void Apply(Time now, const GuardAction& action);
  void Preempt(Time now, Request& request);
  void Report(Request& request, EventKind kind, std::vector<EventField> fields);
  RequestPipelineActions TakeActions();

  RequestPipelineSettings settings_;
  RequestModules modules_;
  std::string attempt_prefix_;
  EventSink events_;
  std::optional<RefusalKind> refusal_;
  std::unordered_map<RequestId, Request> requests_;
  std::unordered_map<AttemptId, RequestId> attempts_;
  std::map<ProbeId, Check> checks_;
  std::map<EndpointId, ProbeId> check_by_endpoint_;
  // Requests by deadline.
  std::multimap<Time, RequestId> deadlines_;
  std::int64_t last_attempt_ = 0;
  ProbeId last_probe_;
  RequestPipelineActions actions_;
};

}  // namespace gcw

#endif  // COORDINATION_REQUESTS_REQUEST_PIPELINE_H_
