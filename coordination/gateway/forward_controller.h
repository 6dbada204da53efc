#ifndef COORDINATION_GATEWAY_FORWARD_CONTROLLER_H_
#define COORDINATION_GATEWAY_FORWARD_CONTROLLER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

#include "coordination/gateway/crash_guard.h"
#include "coordination/gateway/deferral_policy.h"
#include "coordination/gateway/draining/run_time_log.h"
#include "coordination/gateway/endpoint_report.h"
#include "coordination/gateway/forward_request.h"
#include "coordination/gateway/overload/deferral_reason.h"
#include "coordination/gateway/overload/overload_settings.h"
#include "coordination/gateway/reachability_monitor.h"
#include "coordination/gateway/relay_selector.h"
#include "coordination/gateway/replica_selector.h"
#include "coordination/gateway/route_explanation.h"
#include "coordination/gateway/run_locks/run_lock_client.h"
#include "coordination/gateway/shared_retry_budget.h"
#include "coordination/requests/retry_after.h"
#include "state/state.h"

namespace gcw {

struct ForwardControllerSettings {
  RunTimeLogSettings run_times;
  // A request is not retried with less time left: even a short answer would
  // come too late.
  Duration min_time_left = Duration::Millis(60);
  // Number of endpoints that may refuse one request before the caller is
  // refused.
  int max_refusals = 3;
  // Retry delay given to refused callers, varied by `retry_jitter` in either
  // direction so that they do not return together.
  Duration retry_after = Duration::Millis(500);
  double retry_jitter = 0.4;
  // The order of return where all endpoints of a model are at their limits:
  // callers are spread over the time in which these take them. Callers wait for
  // a third of the time that they have left at most.
  RetryAfterSettings limited_returns = {.min_delay = Duration::Millis(300),
                                        .max_delay = Duration::Seconds(3),
                                        .min_return_rate = 0.1};
  DeferralPolicySettings deferral;
  OverloadSettings overload;
  // Number of other nodes that one request may be passed on to.
  std::size_t max_relays = 2;
  // A request that was passed on is taken back if nothing of its answer arrives
  // for this long and the other node does not answer questions either.
  Duration relay_silence_timeout = Duration::Millis(1000);
  // A stream at an endpoint that seems stalled gets a second attempt at another
  // endpoint after this long without an event. Callers leave after two seconds,
  // and the second attempt has to read the prompt first.
  Duration stream_hedge_delay = Duration::Millis(1000);
  // The same if the endpoint does not accept new connections of this node.
  Duration lost_path_hedge_delay = Duration::Millis(400);
  // The same for a repeatable request to a plain service.
  Duration service_hedge_delay = Duration::Millis(500);
  // Interval between two tries to place a second attempt.
  Duration hedge_retry_interval = Duration::Millis(200);
  // A stream that broke and finds no place elsewhere waits for one until this
  // long after its last event, when its caller leaves.
  Duration max_resume_wait = Duration::Seconds(2);
};

// The id of an arrived request and the first step to take for it.
struct ForwardAdmission {
  ForwardId id;
  ForwardStep step;
};

// Drives each request that is forwarded unchanged from its arrival through its
// attempts to exactly one final step.
class ForwardController {
 public:
  // What it decides with. The objects must outlive the controller.
  using ModelRequestHook =
      std::function<void(const ModelId&, Rank, TokenCount prompt_tokens)>;

  struct Parts {
    ReplicaSelector* selector = nullptr;
    SharedRetryBudget* budget = nullptr;
    CrashGuard* crash_guard = nullptr;
    RunLockClient* run_locks = nullptr;
    RelaySelector* relays = nullptr;
    ReachabilityMonitor* reachability = nullptr;
    // Called for each request of a caller that names a model.
    ModelRequestHook on_model_request = [](const ModelId&, Rank, TokenCount) {};
  };

  ForwardController(ForwardControllerSettings settings,
                    const Parts& parts,
                    Random random,
                    EventSink events);

  // `routes` is null until a configuration is known.
  ForwardAdmission OnArrived(Time now,
                             ForwardRequest request,
                             std::shared_ptr<const RouteTable> routes);
  // Returns the step that follows the end of the current attempt. A final step
  // removes the request.
  ForwardStep OnEnded(Time now, ForwardId id, const ForwardEnd& end);
  void OnProgress(Time now, ForwardId id);
  // The endpoint of the current attempt reports about itself.
  void OnReport(Time now, ForwardId id, const EndpointReport& report);
  // The same for an answer that came through another node.
  void OnRelayedReport(Time now,
                       ForwardId id,
                       const VmId& endpoint,
                       const EndpointReport& report);
  void OnCallerGone(Time now, ForwardId id);
  // The request need not wait any longer. Returns its next step.
  ForwardStep OnDecision(Time now, const CrashDecision& decision);
  // The same for a request that waited for its run lock.
  ForwardStep OnRunLockDecided(Time now, ForwardId id);

  // Returns the steps of streams that waited for a place at an endpoint.
  std::vector<std::pair<ForwardId, ForwardStep>> ResumeWaiting(Time now);

  // Returns the requests whose silent attempts may get a second attempt beside
  // them.
  std::vector<ForwardId> FindHedgeable(Time now);
  // Starts a second attempt beside the first one, whose state is `silent`.
  // Returns nothing, and changes nothing, if the second attempt lacks an
  // endpoint, a run or a retry of the budget.
  std::optional<SendForward> StartSecondAttempt(Time now,
                                                ForwardId id,
                                                const ForwardEnd& silent);
  // The second attempt sent the first new event: it replaces the first attempt.
  void OnSecondAttemptWon(Time now, ForwardId id);
  // The second attempt failed, and the first one goes on.
  void OnSecondAttemptEnded(Time now, ForwardId id, const ForwardEnd& end);
  // The endpoint of the second attempt reports about itself.
  void OnSecondAttemptReport(Time now,
                             ForwardId id,
                             const EndpointReport& report);

  // Returns where a request would go now, for operators. Changes nothing.
  // `routes` is null until a configuration is known.
  RouteExplanation Explain(Time now,
                           const RouteQuery& query,
                           std::shared_ptr<const RouteTable> routes) const;

  // Returns all requests that run at endpoints.
  std::vector<ForwardId> RunningRequests() const;
  // Returns the requests whose answers another node seems to have lost.
  std::vector<ForwardId> FindLostRelays(Time now) const;
  // Replaces the attempt, whose state is `silent` and which is known to be
  // lost. Returns nothing, and changes nothing, if no other attempt is possible
  // now.
  std::optional<ForwardStep> FailOver(Time now,
                                      ForwardId id,
                                      const ForwardEnd& silent);

  void SetNodeCount(std::size_t nodes);

  // The node stops: requests that may not be finished by `end` are refused.
  void BeginDrain(Time end) { drain_end_ = end; }
  // Ends all open requests, which can no longer be finished, and returns their
  // final steps.
  std::vector<std::pair<ForwardId, ForwardStep>> EndAll(Time now);

  std::size_t open_requests() const { return open_requests_.size(); }
  // Number of open requests that were passed on to other nodes.
  std::size_t relayed_requests() const { return relayed_.size(); }
  // Number of open requests that other nodes passed on to this one.
  std::size_t accepted_relays() const { return accepted_relays_; }
  const DeferralCounts& deferral_counts() const { return deferral_counts_; }

 private:
  // An attempt that runs beside the first one.
  struct SecondAttempt {
    EndpointRun endpoint;
    Address address;
    AttemptNumber number;
    Time sent;
  };
  struct OpenRequest {
    ForwardId id;
    ForwardRequest request;
    std::shared_ptr<const RouteTable> routes;
    const RouteRule* route = nullptr;
    ServiceId service;
    CustomerId customer;
    // Of the request's content and its customer.
    Fingerprint fingerprint;
    // The whole request and the shared parts of its prompt.
    std::vector<CrashSuspect> suspects;
    // The suspect for which the request is restricted, or tried out.
    CrashSuspect restricting;
    Time arrived;
    Time deadline;
    // Time of the last events that the caller received.
    Time last_event;
    std::vector<VmId> excluded;
    EndpointRun endpoint;
    Address address;
    AttemptNumber attempt;
    // Time of the current attempt, and of its first event.
    Time sent;
    std::optional<Time> first_event;
    // The endpoint of the current attempt has begun to answer.
    bool has_head = false;
    // The current attempt showed that the parts crash no endpoint.
    bool are_parts_proven = false;
    std::optional<SecondAttempt> second;
    // How the last attempt ended, if the request waits for the next one.
    std::optional<ForwardEnd> resume_from;
    // Earliest time of the next try to place a second attempt.
    Time next_hedge;
    std::int64_t sends = 0;
    // Number of sends that may have been executed.
    std::int64_t possible_runs = 0;
    int refusals = 0;
    Rank rank;
    Urgency urgency = Urgency::kOnTime;
    // Why the request was deferred when it arrived; absent if it was not.
    std::optional<DeferralReason> deferral;
    // Time between the first send of a returning caller and `arrived`.
    Duration returned_after;
    // Whether `RankedAdmission` decides on the request.
    bool is_ranked = false;
    bool has_started = false;
    // The attempt shows whether the request crashes endpoints.
    bool is_trial = false;
    bool has_reached_endpoint = false;
    // The same for the trial.
    bool has_trial_reached_endpoint = false;
    // The last attempt broke, and the next one is a trial.
    bool awaits_trial = false;
    // The request holds its run lock, or runs without it.
    bool is_run_lock_decided = false;
    // The node that the request is passed on to now.
    std::optional<Address> relay_node;
    // All nodes that it was passed on to.
    std::vector<Address> relays;
    Time relayed_at;
    // Number of endpoints that `relay_node` may send it to.
    std::int64_t relay_runs = 0;
    // Number of endpoints that may run it.
    std::int64_t max_runs = 1;
    // The request is counted among those that wait to start, as a prioritized
    // or a deferred one.
    std::optional<Urgency> waits_as;
  };

  // True if the service's endpoints run models.
  static bool HasModels(const OpenRequest& open_request);
  static Fingerprint MakeFingerprint(const OpenRequest& open_request);
  static void AddSuspects(OpenRequest& open_request);
  // Returns the part for which the request is sent apart, if it is, and marks
  // the suspect.
  std::optional<Fingerprint> KeepApart(Time now,
                                       OpenRequest& open_request) const;
  // Time since the current attempt was sent or last delivered an event.
  static Duration SilenceOf(Time now, const OpenRequest& open_request);
  static ReplicaDemand MakeDemand(const OpenRequest& open_request);
  void RecordStart(Time now, OpenRequest& open_request);
  // Whether the current attempt shows that the request crashes no endpoint.
  bool IsProvenHarmless(Time now, const OpenRequest& open_request) const;
  // Tells the crash guard that the attempt ended without a crash.
  void ReportHarmless(Time now, OpenRequest& open_request);
  // The same for the parts of its prompt, if the run began at `began`.
  void ReportPartsHarmless(Time now, OpenRequest& open_request, Time began);
  // The same for an attempt that goes on.
  void ReportHarmlessProgress(Time now, OpenRequest& open_request);
  // Whether another trial may take the place of this one, which has ended.
  static bool IsTrialUnused(const OpenRequest& open_request,
                            const ForwardEnd& end);
  // Tells the crash guard of an attempt that may have broken with its endpoint.
  void ReportBreak(Time now,
                   const OpenRequest& open_request,
                   const ForwardEnd& end);
  // Returns the urgency of a request that has not been sent, and sets why it is
  // deferred if it is.
  Urgency ClassifyArrival(Time now, OpenRequest& open_request);
  // Returns why a request that has not been sent is deferred, if it is.
  std::optional<DeferralReason> FindDeferral(Time now,
                                             OpenRequest& open_request);
  // Returns why a request that arrives for the first time would be deferred
  // now, without counting it.
  std::optional<DeferralReason> PredictDeferral(
      Time now,
      const OpenRequest& open_request) const;
  // Whether requests of the service are admitted by rank.
  bool IsRanked(const OpenRequest& open_request);
  // The request was sent for the first time.
  void StartWaiting(OpenRequest& open_request);
  // The request no longer waits to start.
  void StopWaiting(OpenRequest& open_request);
  ForwardStep Admit(Time now, ForwardId id, OpenRequest& open_request);
  // Sends the request to an endpoint, or through another node if this node
  // reaches none. Returns the reason if neither is possible.
  Result<ForwardStep, RefusalKind> Place(Time now,
                                         OpenRequest& open_request,
                                         std::optional<std::int64_t> resume,
                                         bool prefers_relay);
  // Takes back a step of `Place` that is not performed.
  void CancelPlacement(OpenRequest& open_request, const ForwardStep& step);
  // Passes the request on to another node if one reaches endpoints that this
  // node does not.
  std::optional<RelayForward> Relay(Time now,
                                    OpenRequest& open_request,
                                    std::optional<std::int64_t> resume);
  // The request no longer runs through another node.
  void EndRelay(ForwardId id, OpenRequest& open_request);
  ForwardStep OnAttemptEnded(Time now,
                             OpenRequest& open_request,
                             const ForwardEnd& end);
  ForwardStep OnRelayEnded(Time now,
                           ForwardId id,
                           OpenRequest& open_request,
                           const ForwardEnd& end);
  // Sends the request for the first time.
  ForwardStep DispatchFirst(Time now, OpenRequest& open_request);
  // The same, unless the request is suspected of crashing endpoints.
  ForwardStep DispatchOrWait(Time now, ForwardId id, OpenRequest& open_request);
  // Whether the request has to wait for its run lock before it is sent.
  bool NeedsRunLock(Time now, const OpenRequest& open_request) const;
  // Returns the first step after the wait.
  ForwardStep TakeDecision(Time now,
                           const CrashDecision& decision,
                           OpenRequest& open_request);
  // Returns the step of a request that waited after an attempt.
  ForwardStep ResumeAfterDecision(Time now,
                                  const CrashDecision& decision,
                                  OpenRequest& open_request);
  // Whether a request that was not sent again waits for its trial.
  bool MayWaitForTrial(Time now,
                       const OpenRequest& open_request,
                       RefusalKind lacking) const;
  ForwardStep WaitForDecision(Time now,
                              ForwardId id,
                              OpenRequest& open_request);
  void Remove(ForwardId id);
  // Whether the request is expected to be finished before the node ends.
  bool FitsIntoDrain(Time now, const OpenRequest& open_request) const;
  // Remembers how long the request took.
  void RecordRunTime(Time now, const OpenRequest& open_request);
  // Ends the request, whose attempt may run.
  ForwardStep EndUnfinished(Time now, OpenRequest& open_request);
  // Tells the reachability monitor how an attempt ended.
  void ReportReachability(Time now,
                          const OpenRequest& open_request,
                          const ForwardEnd& end);
  // Returns a node that the request may be passed on to.
  std::optional<Address> FindRelay(Time now,
                                   const OpenRequest& open_request) const;
  // The same for a query, which leads to no question to other nodes.
  std::optional<Address> ExplainRelay(Time now,
                                      const ReplicaDemand& demand) const;
  // Sets the customer and the rank. Returns false if the request would be
  // refused for its key.
  static bool ExplainCustomer(const RouteQuery& query,
                              const RouteTable& routes,
                              const RouteRule& route,
                              RouteExplanation& explanation);
  // Whether a stream that broke may find what it lacked a little later.
  bool MayWaitToResume(Time now,
                       const OpenRequest& open_request,
                       const ForwardEnd& end,
                       RefusalKind lacking) const;
  // Whether a second attempt would be allowed and useful.
  bool IsHedgeable(Time now, const OpenRequest& open_request) const;
  // The second attempt takes the place of the first one.
  void PromoteSecondAttempt(ForwardId id, OpenRequest& open_request);
  // Abandons the second attempt, which may have run.
  void CancelSecondAttempt(OpenRequest& open_request);
  // The first attempt failed while the second one runs.
  ForwardStep OnFirstAttemptFailed(Time now,
                                   ForwardId id,
                                   OpenRequest& open_request,
                                   const ForwardEnd& end);
  // Tells the parts that learn from attempts how the current one ended.
  void RecordAttemptEnd(Time now,
                        OpenRequest& open_request,
                        const ForwardEnd& end);
  // Keeps the request if it goes on, and removes it otherwise.
  void Track(ForwardId id, OpenRequest open_request, const ForwardStep& step);
  // Returns the next attempt, or the reason why no endpoint can take it.
  // `heard_since` is set for a second attempt: its endpoint should have sent
  // something after that time.
  Result<SendForward, RefusalKind> Dispatch(
      Time now,
      OpenRequest& open_request,
      std::optional<std::int64_t> resume,
      std::optional<Time> heard_since = std::nullopt);
  ForwardStep NextStep(Time now,
                       OpenRequest& open_request,
                       const ForwardEnd& end);
  // Returns the next attempt, or the reason why there is none.
  // `may_have_reached_endpoint` is true if the attempt that ended may have
  // reached its endpoint.
  Result<ForwardStep, RefusalKind> Retry(Time now,
                                         OpenRequest& open_request,
                                         const ForwardEnd& end,
                                         bool may_have_reached_endpoint);
  // The same for a request that may be sent again.
  Result<ForwardStep, RefusalKind> Resend(Time now,
                                          OpenRequest& open_request,
                                          const ForwardEnd& end,
                                          bool may_have_reached_endpoint,
                                          bool has_failed_often);
  ForwardStep RetryOrGiveUp(Time now,
                            OpenRequest& open_request,
                            const ForwardEnd& end,
                            bool may_have_reached_endpoint);
  // An attempt after the first is urgent as long as the caller's objectives can
  // be met.
  static void UpdateUrgency(Time now,
                            OpenRequest& open_request,
                            bool is_delivered);
  bool MayRunAgain(Time now,
                   const OpenRequest& open_request,
                   const ForwardEnd& end) const;
  ForwardStep GiveUp(Time now,
                     const OpenRequest& open_request,
                     const ForwardEnd& end,
                     RefusalKind reason);
  ForwardStep Refuse(Time now,
                     const OpenRequest& open_request,
                     RefusalKind kind);
  Duration RetryAfter(Time now,
                      const OpenRequest& open_request,
                      RefusalKind kind);
  // Returns when a caller should return to endpoints that are at their limits.
  Duration LimitedReturn(Time now, const ReplicaDemand& demand);
  ServiceId ChooseService(const RouteRule& route);
  void EmitEvent(EventKind kind,
                 const OpenRequest& open_request,
                 std::vector<EventField> fields);

  ForwardControllerSettings settings_;
  ReplicaSelector* selector_;
  SharedRetryBudget* budget_;
  CrashGuard* crash_guard_;
  RunLockClient* run_locks_;
  RelaySelector* relays_;
  ReachabilityMonitor* reachability_;
  ModelRequestHook on_model_request_;
  Random random_;
  EventSink events_;
  DeferralPolicy deferral_policy_;
  ReturningCallers returning_callers_;
  RankedAdmission ranked_admission_;
  CustomerShares customer_shares_;
  // The services that differ in rank in `ranked_routes_`.
  std::set<ServiceId> ranked_services_;
  std::shared_ptr<const RouteTable> ranked_routes_;
  DeferralCounts deferral_counts_;
  // The returns to models whose endpoints are all at their limits.
  std::map<std::pair<ServiceId, ModelId>, RetryAfterPlanner> limited_returns_;
  // Number of nodes that share the returns.
  double node_count_ = 1;
  std::unordered_map<ForwardId, OpenRequest> open_requests_;
  std::map<AttemptNumber, ForwardId> by_attempt_;
  // Requests that were passed on to other nodes.
  std::set<ForwardId> relayed_;
  // Requests that wait for a place at an endpoint after their streams broke.
  std::set<ForwardId> resuming_;
  std::size_t accepted_relays_ = 0;
  RunTimeLog run_times_;
  // When a node that stops ends its open requests; absent if it does not stop.
  std::optional<Time> drain_end_;
  ForwardId last_id_;
};

}  // namespace gcw

#endif  // COORDINATION_GATEWAY_FORWARD_CONTROLLER_H_
