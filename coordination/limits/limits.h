#ifndef COORDINATION_LIMITS_LIMITS_H_
#define COORDINATION_LIMITS_LIMITS_H_

#include <map>
#include <memory>
#include <variant>
#include <vector>

#include "coordination/actions.h"
#include "coordination/limits/contract_limits.h"
#include "coordination/limits/limit_messages.h"
#include "coordination/limits/limit_owner.h"
#include "coordination/limits/limit_relay.h"
#include "coordination/limits/limit_settings.h"
#include "coordination/limits/limit_shares.h"
#include "coordination/limits/limit_topology.h"
#include "coordination/limits/report_schedule.h"
#include "core/core.h"

namespace gcw {

using LimitsAction = std::variant<PeerSend<LimitBatch>>;

// Contract limits on one node: its own shares, and grants to other nodes if it
// owns a shard or is a relay of its zone. A facade over `LimitShares`,
// `LimitOwner` and `LimitRelay`.
class Limits {
 public:
  class Builder;

  // Adds or changes a contract. A change applies to new requests at once.
  void OnContract(Time now, const Contract& contract);
  void OnContractWithdrawn(const ContractId& contract);

  // `peers` are the live nodes, including this one. Views may differ between
  // nodes.
  void OnView(Time now, const std::vector<LimitPeer>& peers);

  // This node holds the role `limit/<shard>` and may rely on it until
  // `valid_until`. Called again at each renewal of the node's lease.
  void OnRoleHeld(LimitShard shard, FencingToken fence, Time valid_until);
  void OnRoleLost(LimitShard shard);
  // Called before this node gives up the role by deleting its key. Returns the
  // time from which the role may be released; no grant outlives it.
  Time PrepareRelease(Time now, LimitShard shard);
  // `owner` is the holder of the role as far as this node knows, or empty.
  void OnOwner(LimitShard shard, const NodeId& owner, FencingToken fence);

  std::vector<LimitsAction> OnBatch(Time now,
                                    const NodeId& from,
                                    const LimitBatch& batch);
  std::vector<LimitsAction> Tick(Time now);

  // Charges one request and its estimated tokens to this node's share, or
  // returns the reason for a refusal. A refused request counts as demand.
  ShareDecision TryAcquire(Time now,
                           const ContractId& contract,
                           TokenCount estimate,
                           AcquireAttempt attempt = AcquireAttempt::kFirst);
  // Called when a granted request has ended; `actual` is what it used.
  void Release(const ContractId& contract,
               TokenCount estimate,
               TokenCount actual);

  // Starts a planned stop: other nodes may use this node's floors from now on.
  // Called once the node takes no new requests.
  void Leave();

  std::vector<ShareView> ShareViews(Time now) const;
  // Sum of this node's unexpired grants to all parties.
  LimitVector GrantedBy(Time now, const ContractId& contract) const;
  // What this node may use of the contract now.
  LimitVector ShareOf(Time now, const ContractId& contract) const;

 private:
  // The messages that one event causes, by receiver.
  using Outbox = std::map<NodeId, LimitBatch>;

  Limits(const LimitParty& self,
         ZoneId zone,
         const LimitSettings& settings,
         EventSink sink,
         Time started);

  void HandleReport(Time now, const LimitReport& report, Outbox& outbox);
  void HandleGrants(Time now, const NodeId& from, const LimitGrants& grants);
  void Deliver(Time now, const NodeId& to, LimitReport report, Outbox& outbox);
  static std::vector<LimitsAction> MakeActions(Outbox&& outbox);

  // On the heap, because the members below keep pointers to them.
  std::unique_ptr<LimitTopology> topology_;
  std::unique_ptr<ContractLimits> limits_;
  LimitShares shares_;
  LimitOwner owner_;
  LimitRelay relay_;
  ReportSchedule expiry_schedule_;
  NodeId self_;
};

class Limits::Builder {
 public:
  // `incarnation` is unique to each run of the process, such as its start time.
  Builder& SetSelf(NodeId node, ZoneId zone, Incarnation incarnation);
  Builder& SetSettings(LimitSettings settings);
  Builder& SetEventSink(EventSink sink);
  // `started` is the start of the process. The node's earlier run may have
  // ceded its floors shortly before it.
  Limits Build(Time started) const;

 private:
  NodeId node_;
  ZoneId zone_;
  Incarnation incarnation_;
  LimitSettings settings_;
  EventSink sink_ = DiscardEvents();
};

}  // namespace gcw

#endif  // COORDINATION_LIMITS_LIMITS_H_
