#ifndef COORDINATION_REQUESTS_FINGERPRINT_GUARD_H_
#define COORDINATION_REQUESTS_FINGERPRINT_GUARD_H_

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <unordered_map>
#include <variant>
#include <vector>

#include "coordination/membership/membership_messages.h"
#include "coordination/membership/suspect_table.h"
#include "coordination/requests/guard_messages.h"
#include "coordination/requests/permit_issuer.h"
#include "coordination/requests/request.h"

namespace gcw {

struct FingerprintGuardSettings {
  SuspectSettings suspects;
  PermitIssuerSettings permits;
  // After an attempt of a fingerprint completes, the first loss within this
  // time does not make the fingerprint a suspect.
  Duration proven_ttl = Duration::Seconds(1800);
  std::size_t max_proven = 20000;
  Duration permit_retry = Duration::Millis(200);
  // Interval at which the permit of a running attempt is renewed.
  Duration permit_renewal = Duration::Seconds(2);
  // A suspect without a permit after this time is refused.
  Duration permit_timeout = Duration::Seconds(20);
  Duration retry_after = Duration::Seconds(5);
};

// The request may go to any endpoint.
struct GuardAllowed {};
// Another attempt of this fingerprint, which is not proven, runs at this
// endpoint. The next attempt goes there too, so that copies sent at once risk
// only one endpoint per node.
struct GuardPinned {
  EndpointId endpoint;
};
// A permit is required before dispatch.
struct GuardSuspect {};
// Refuse with `RefusalKind::kFingerprintBlocked`.
struct GuardBlocked {};

using GuardVerdict =
    std::variant<GuardAllowed, GuardPinned, GuardSuspect, GuardBlocked>;

// Dispatch the attempt to this endpoint.
struct GuardPermit {
  AttemptId attempt;
  EndpointId endpoint;
};
// Refuse the request.
struct GuardRefuse {
  AttemptId attempt;
  Refusal refusal;
};
// Sent to every node by the membership's gossip.
struct GuardBroadcast {
  FingerprintDelta delta;
};

using GuardAction =
    std::variant<GuardPermit, GuardRefuse, GuardBroadcast, GuardPeerSend>;
using GuardActions = std::vector<GuardAction>;

// Limits how many endpoints a crashing request can take down, without refusing
// healthy requests that ran beside it.
class FingerprintGuard {
 public:
  class Builder;

  // Sets the nodes among which the permit issuer is chosen.
  void OnMembers(Time now, const std::vector<NodeId>& members);

  GuardVerdict Classify(Time now, Fingerprint fingerprint) const;
  // Requests a permit. `GuardPermit` or `GuardRefuse` follows.
  GuardActions RequestPermit(Time now,
                             const AttemptId& attempt,
                             Fingerprint fingerprint,
                             std::vector<EndpointId> candidates);
  // Called right before the attempt is written to the endpoint.
  void OnStarted(Time now,
                 const AttemptId& attempt,
                 Fingerprint fingerprint,
                 const EndpointId& endpoint);
  // `completed` means that the endpoint answered the whole request.
  GuardActions OnFinished(Time now, const AttemptId& attempt, bool completed);
  // Called when an endpoint is lost while requests may have run there, before
  // `OnFinished` of the attempts that broke with it. Losses with a known cause
  // (a planned stop, a fabric domain that is down) are not reported here.
  GuardActions OnEndpointLost(Time now, const EndpointId& endpoint);

  GuardActions OnMessage(Time now,
                         const NodeId& from,
                         const GuardMessage& message);
  void OnDelta(Time now, const FingerprintDelta& delta);
  // Sets the fingerprints that operators have allowed, from `setting/...`.
  void SetAllowed(std::set<Fingerprint> allowed);
  GuardActions Tick(Time now);

 private:
  friend class Builder;
  FingerprintGuard(NodeId self,
                   FingerprintGuardSettings settings,
                   EventSink events);

  struct Running {
    Fingerprint fingerprint;
    EndpointId endpoint;
    // True if the attempt runs with a permit, as the only suspect on its
    // endpoint.
    bool permitted = false;
    Time next_renewal;
  };
  // Number of running attempts of one fingerprint, and the endpoint of the
  // latest.
  struct Copies {
    EndpointId endpoint;
    std::int64_t count = 0;
  };
  struct Proof {
    Fingerprint fingerprint;
    Time expires;
  };
  struct PendingPermit {
    PermitRequest request;
    Time since;
    Time next_request;
  };

  void BroadcastSuspect(Time now,
                        Fingerprint fingerprint,
                        GuardActions& actions);
  void AddLoss(Time now, const Running& running, GuardActions& actions);
  void SendPermitRequest(Time now,
                         PendingPermit& pending,
                         GuardActions& actions);
  void SendToIssuer(GuardMessage message, GuardActions& actions) const;
  PermitReply MakePermitReply(Time now, const PermitRequest& request);
  void OnReply(const PermitReply& reply, GuardActions& actions);
  void OnDone(Time now, const PermitDone& done);
  void Refuse(const AttemptId& attempt, GuardActions& actions);
  void RenewPermits(Time now, GuardActions& actions);
  void Forget(const AttemptId& attempt);
  bool IsProven(Time now, Fingerprint fingerprint) const;
  void MarkProven(Time now, Fingerprint fingerprint);
  void DropOldestProof();

  NodeId self_;
  FingerprintGuardSettings settings_;
  EventSink events_;
  SuspectTable suspects_;
  PermitIssuer permit_issuer_;
  std::optional<NodeId> issuer_node_;
  std::map<AttemptId, Running> running_;
  std::map<AttemptId, PendingPermit> pending_permits_;
  // Endpoints of the attempts that hold a permit.
  std::map<AttemptId, EndpointId> permitted_;
  std::unordered_map<Fingerprint, Copies> copies_;
  std::unordered_map<Fingerprint, Time> proven_;
  std::deque<Proof> proofs_;
};

class FingerprintGuard::Builder {
 public:
  Builder& SetSelf(NodeId self);
  Builder& SetSettings(FingerprintGuardSettings settings);
  Builder& SetEvents(EventSink events);
  std::unique_ptr<FingerprintGuard> Build() const;

 private:
  NodeId self_;
  FingerprintGuardSettings settings_;
  EventSink events_ = DiscardEvents();
};

}  // namespace gcw

#endif  // COORDINATION_REQUESTS_FINGERPRINT_GUARD_H_
