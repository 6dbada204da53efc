#ifndef COORDINATION_ROLES_NODE_LEASE_H_
#define COORDINATION_ROLES_NODE_LEASE_H_

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "coordination/actions.h"
#include "coordination/backoff.h"
#include "state/state.h"

namespace gcw {

struct NodeLeaseSettings {
  // The service deletes the node's keys after this time without a renewal.
  Duration time_to_live = Duration::Seconds(15);
  Duration renew_interval = Duration::Seconds(5);
  // Safety margin for the drift between the service's clock and the node's
  // within one time to live, and for the delay between a check and the action
  // that it allows.
  Duration margin = Duration::Seconds(2);
  // A call without a reply for this long counts as unanswered.
  Duration call_timeout = Duration::Seconds(2);
  BackoffSettings backoff;
  // The same for a relaxed lease, which costs fewer calls because the loss of
  // its node may be noticed later.
  Duration relaxed_time_to_live = Duration::Seconds(15);
  Duration relaxed_renew_interval = Duration::Seconds(5);
  // Maximum backoff between two attempts of a relaxed lease.
  Duration relaxed_backoff = Duration::Seconds(8);
};

using NodeLeaseAction = std::variant<StoreRequest>;

// A lease that the node may rely on until `valid_until`.
struct HeldLease {
  LeaseId lease;
  // Revision of the last write of `node/<id>` under this lease.
  Incarnation incarnation;
  // Send time of the last successful renewal + time to live - margin.
  Time valid_until;
};

// The node's single lease in the key-value service and the key `node/<id>` that
// is attached to it. A renewal is one call regardless of the number of attached
// keys.
class NodeLease {
 public:
  class Builder;

  // Requests or renews the lease, writes the record and retries, as each is
  // due.
  std::vector<NodeLeaseAction> Tick(Time now);
  std::vector<NodeLeaseAction> OnStoreReply(Time now,
                                            StoreCallId id,
                                            const StoreReply& reply);
  // Rewrites the record under the same lease, with a higher incarnation.
  std::vector<NodeLeaseAction> SetRecord(Time now, NodeRecord record);
  // Revokes the lease at once, as the last step of a planned stop.
  std::vector<NodeLeaseAction> Release(Time now);

  // Selects a relaxed or a normal lease. A lease that is held is replaced.
  void SetRelaxed(bool relaxed);

  // Absent if the node may not rely on its lease at `now`.
  std::optional<HeldLease> Held(Time now) const;
  // Incarnation of the last write of `node/<id>`, also after the lease has
  // lapsed; zero before the first write.
  Incarnation incarnation() const { return incarnation_; }
  // Whether the service answered the last call.
  bool store_reachable() const { return store_reachable_; }

 private:
  enum class Phase { kNone, kGranted, kHeld, kReleased };
  enum class CallKind { kGrant, kPut, kKeepAlive, kRevoke };
  struct PendingCall {
    CallKind kind;
    Time sent;
    // The lease that the call refers to; zero for a grant.
    LeaseId lease;
    // The time to live that the call requests.
    Duration time_to_live;
    // Version of the record that a put writes.
    std::int64_t record_version;
  };

  NodeLease(NodeLeaseSettings settings,
            NodeRecord record,
            std::function<std::string(const NodeRecord&)> encode,
            Random random,
            EventSink sink);

  NodeLeaseAction MakeCall(Time now, CallKind kind, StoreCall call);
  std::vector<NodeLeaseAction> NextCall(Time now);
  void HandleReply(Time now,
                   const PendingCall& pending,
                   const StoreReply& reply);
  void OnLeaseReply(const PendingCall& pending, const StoreLeaseReply& reply);
  void OnRecordWritten(const PendingCall& pending, Revision revision);
  void OnConflict(const PendingCall& pending, const StoreConflict& conflict);
  void OnUnanswered(Time now);
  Duration time_to_live() const;
  Duration renew_interval() const;
  void ExpireCalls(Time now);
  void ReportValidity(Time now);
  void ReportReachable(bool reachable);

  NodeLeaseSettings settings_;
  NodeRecord record_;
  std::function<std::string(const NodeRecord&)> encode_;
  Random random_;
  EventSink sink_;
  Backoff backoff_;

  bool relaxed_ = false;
  Phase phase_ = Phase::kNone;
  LeaseId lease_;
  Time valid_until_;
  Incarnation incarnation_;
  // Last known revision of `node/<id>`.
  Revision key_revision_;
  bool record_written_ = false;
  // Counts the changes of `record_`.
  std::int64_t record_version_ = 0;
  Time renewal_due_;
  Time next_call_;
  StoreCallId last_id_;
  // Unanswered calls. A late reply to a renewal still extends the lease.
  std::map<StoreCallId, PendingCall> pending_;
  // The call in progress; the next call waits for its reply.
  std::optional<StoreCallId> awaited_call_;
  bool store_reachable_ = true;
  bool reported_valid_ = false;
};

class NodeLease::Builder {
 public:
  Builder& SetSettings(NodeLeaseSettings settings);
  Builder& SetRecord(NodeRecord record);
  Builder& SetEncode(std::function<std::string(const NodeRecord&)> encode);
  Builder& SetRandom(Random random);
  Builder& SetEventSink(EventSink sink);
  NodeLease Build() const;

 private:
  NodeLeaseSettings settings_;
  NodeRecord record_;
  std::function<std::string(const NodeRecord&)> encode_;
  Random random_ = SeededRandom(0);
  EventSink sink_ = DiscardEvents();
};

}  // namespace gcw

#endif  // COORDINATION_ROLES_NODE_LEASE_H_
