#ifndef COORDINATION_GATEWAY_FORWARD_DESK_H_
#define COORDINATION_GATEWAY_FORWARD_DESK_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <unordered_map>
#include <vector>

#include "coordination/gateway/deferral_policy.h"
#include "coordination/gateway/forward_request.h"
#include "coordination/gateway/replica_selector.h"
#include "coordination/gateway/shared_retry_budget.h"
#include "state/state.h"

namespace gcw {

struct ForwardDeskSettings {
  // A request is not retried with less time left: even a short answer would
  // come too late.
  Duration least_time = Duration::Millis(60);
  // Number of endpoints that may refuse one request before the caller is
  // refused.
  int most_refusals = 3;
  // Retry delay given to refused callers, varied by `retry_spread` in either
  // direction so that they do not return together.
  Duration retry_after = Duration::Millis(500);
  double retry_spread = 0.4;
  DeferralPolicySettings deferral;
};

// The id of an arrived request and the first step to take for it.
struct ForwardBegun {
  ForwardId id;
  ForwardStep step;
};

// Drives each request that is forwarded unchanged from its arrival through its
// attempts to exactly one final step.
class ForwardDesk {
 public:
  // The pointers must outlive this object.
  ForwardDesk(ForwardDeskSettings settings,
              ReplicaSelector* selector,
              SharedRetryBudget* budget,
              Random random,
              EventSink events);

  // `routes` is null until a configuration is known.
  ForwardBegun OnArrived(Time now,
                         ForwardRequest request,
                         std::shared_ptr<const RouteTable> routes);
  // Returns the step that follows the end of the current attempt. A final step
  // removes the request.
  ForwardStep OnEnded(Time now, ForwardId id, const ForwardEnd& end);
  void OnProgress(Time now, ForwardId id);
  void OnLoad(Time now, ForwardId id, const LoadReading& load);
  void OnCallerGone(Time now, ForwardId id);

  // Returns the requests among the `stuck` attempts that another endpoint could
  // continue. The caller should end their attempts as kSilent.
  std::vector<ForwardId> MovableOf(Time now,
                                   const std::vector<AttemptNumber>& stuck);

  std::size_t open_requests() const { return open_.size(); }

 private:
  struct Open {
    ForwardRequest request;
    std::shared_ptr<const RouteTable> routes;
    const RouteRule* route = nullptr;
    ServiceId service;
    CustomerId customer;
    Time arrived;
    Time deadline;
    // Time of the last events that the caller received.
    Time last_event;
    std::vector<VmId> excluded;
    VmId vm;
    AttemptNumber attempt;
    std::int64_t sends = 0;
    // Number of sends that may have been executed.
    std::int64_t runs = 0;
    int refusals = 0;
    Rank rank;
    Urgency urgency = Urgency::kOnTime;
    bool has_begun = false;
    // The deferral policy counts this request among the prioritized ones that
    // wait to start.
    bool is_awaited = false;
  };

  // True if the service's endpoints run models.
  static bool HasModels(const Open& open);
  static ReplicaDemand DemandOf(const Open& open);
  void NoteBeginning(Time now, Open& open);
  // Tells the deferral policy that the request no longer waits to start.
  void EndWait(Open& open);
  ForwardStep Admit(Time now, Open& open);
  // Returns the next attempt, or the reason why no endpoint can take it.
  Result<SendForward, RefusalKind> Send(Time now,
                                        Open& open,
                                        std::optional<std::int64_t> resume);
  ForwardStep NextStep(Time now, Open& open, const ForwardEnd& end);
  // Returns the next attempt, or the reason why there is none. `arrived_there`
  // is true if the attempt that ended may have reached its endpoint.
  Result<SendForward, RefusalKind> SendAgain(Time now,
                                             Open& open,
                                             const ForwardEnd& end,
                                             bool arrived_there);
  ForwardStep SendAgainOrGiveUp(Time now,
                                Open& open,
                                const ForwardEnd& end,
                                bool arrived_there);
  bool MayRunAgain(Time now, const Open& open, const ForwardEnd& end) const;
  ForwardStep GiveUp(Time now,
                     const Open& open,
                     const ForwardEnd& end,
                     RefusalKind reason);
  ForwardStep Refuse(Time now, const Open& open, RefusalKind kind);
  Duration RetryAfter();
  ServiceId ChooseService(const RouteRule& route);
  void Report(EventKind kind, const Open& open, std::vector<EventField> fields);

  ForwardDeskSettings settings_;
  ReplicaSelector* selector_;
  SharedRetryBudget* budget_;
  Random random_;
  EventSink events_;
  DeferralPolicy deferral_;
  std::unordered_map<ForwardId, Open> open_;
  std::map<AttemptNumber, ForwardId> by_attempt_;
  ForwardId last_id_;
};

}  // namespace gcw

#endif  // COORDINATION_GATEWAY_FORWARD_DESK_H_
