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
  // A second send with less time left is not made: even a short answer would
  // come too late.
  Duration least_time = Duration::Millis(60);
  // Endpoints that may refuse one request before the caller is refused.
  int most_refusals = 3;
  // When refused callers should come back, spread by `retry_spread` either way
  // so that they do not return together.
  Duration retry_after = Duration::Millis(500);
  double retry_spread = 0.4;
  DeferralPolicySettings deferral;
};

// An arrived request with what is to be done first.
struct ForwardBegun {
  ForwardId id;
  ForwardStep step;
};

// Takes each request that is passed on as it is from its arrival through its
// attempts to exactly one final step.
class ForwardDesk {
 public:
  // All outlive the desk.
  ForwardDesk(ForwardDeskSettings settings,
              ReplicaSelector* selector,
              SharedRetryBudget* budget,
              Random random,
              EventSink events);

  // `routes` is null while no configuration is known.
  ForwardBegun OnArrived(Time now,
                         ForwardRequest request,
                         std::shared_ptr<const RouteTable> routes);
  // The attempt under way ended. Final steps forget the request.
  ForwardStep OnEnded(Time now, ForwardId id, const ForwardEnd& end);
  void OnProgress(Time now, ForwardId id);
  void OnLoad(Time now, ForwardId id, const LoadReading& load);
  void OnCallerGone(Time now, ForwardId id);

  // Of these attempts, the requests that another endpoint could go on with:
  // whoever runs them should end the attempt as kSilent.
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
    // Of the last events that the caller was given.
    Time last_event;
    std::vector<VmId> excluded;
    VmId vm;
    AttemptNumber attempt;
    std::int64_t sends = 0;
    // Sends that may have run.
    std::int64_t runs = 0;
    int refusals = 0;
    Rank rank;
    Urgency urgency = Urgency::kOnTime;
    bool has_begun = false;
    // The policy of deferral counts it among those that go first and wait.
    bool is_awaited = false;
  };

  // Whether the service's endpoints run models.
  static bool HasModels(const Open& open);
  static ReplicaDemand DemandOf(const Open& open);
  void NoteBeginning(Time now, Open& open);
  // It waits for its beginning no more.
  void EndWait(Open& open);
  ForwardStep Admit(Time now, Open& open);
  // The next attempt, or why no endpoint can take it.
  Result<SendForward, RefusalKind> Send(Time now,
                                        Open& open,
                                        std::optional<std::int64_t> resume);
  ForwardStep NextStep(Time now, Open& open, const ForwardEnd& end);
  // The next attempt, or why there is none. `arrived_there`: the one that ended
  // may have reached its endpoint.
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
