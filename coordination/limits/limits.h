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

// All that one node does for contract limits: its own shares, and granting to
// others where it owns a shard or relays for its zone. A plain facade over
// `LimitShares`, `LimitOwner` and `LimitRelay`.
class Limits {
 public:
  class Builder;

  // The contract set. A change takes effect at once for new requests.
  void OnContract(Time now, const Contract& contract);
  void OnContractWithdrawn(const ContractId& contract);

  // Live nodes, this one included. Views may differ between nodes.
  void OnView(Time now, const std::vector<LimitPeer>& peers);

  // This node holds role `limit/<shard>` and believes so until `valid_until`.
  // To be repeated at each renewal of the node's lease.
  void OnRoleHeld(LimitShard shard, FencingToken fence, Time valid_until);
  void OnRoleLost(LimitShard shard);
  // Before this node gives up the role by deleting its key: no grant is given
  // that outlives the returned time, from which on the role may be released.
  Time PrepareRelease(Time now, LimitShard shard);
  // Who holds the role now, as far as this node knows; empty for nobody.
  void OnOwner(LimitShard shard, const NodeId& owner, FencingToken fence);

  std::vector<LimitsAction> OnBatch(Time now,
                                    const NodeId& from,
                                    const LimitBatch& batch);
  std::vector<LimitsAction> Tick(Time now);

  // Takes one request and its estimated tokens out of this node's share, or
  // says why not. A refused request counts as demand.
  ShareDecision TryAcquire(Time now,
                           const ContractId& contract,
                           TokenCount estimate,
                           AcquireAttempt attempt = AcquireAttempt::kFirst);
  // The request ended and used `actual` tokens.
  void Release(const ContractId& contract,
               TokenCount estimate,
               TokenCount actual);

  // A planned stop: this node's floors may be used by others from now on. Call
  // it when the node takes no new requests.
  void Leave();

  std::vector<ShareView> View(Time now) const;
  // Sum of what this node has granted to others and not expired.
  LimitVector GrantedBy(Time now, const ContractId& contract) const;
  // What this node may use now.
  LimitVector ShareOf(Time now, const ContractId& contract) const;

 private:
  // Messages of one event, one batch for each receiver.
  using Outbox = std::map<NodeId, LimitBatch>;

  Limits(const LimitParty& self,
         ZoneId zone,
         const LimitSettings& settings,
         EventSink sink,
         Time started);

  void HandleReport(Time now, const LimitReport& report, Outbox& outbox);
  void HandleGrants(Time now, const NodeId& from, const LimitGrants& grants);
  void Deliver(Time now, const NodeId& to, LimitReport report, Outbox& outbox);
  static std::vector<LimitsAction> ActionsOf(Outbox&& outbox);

  // On the heap, since the parts below point to them.
  std::unique_ptr<LimitTopology> topology_;
  std::unique_ptr<ContractLimits> limits_;
  LimitShares shares_;
  LimitOwner owner_;
  LimitRelay relay_;
  ReportSchedule expiry_;
  NodeId self_;
};

class Limits::Builder {
 public:
  // `incarnation` differs for each run of the process, such as its start time.
  Builder& SetSelf(NodeId node, ZoneId zone, Incarnation incarnation);
  Builder& SetSettings(LimitSettings settings);
  Builder& SetEventSink(EventSink sink);
  // `started` is when the process came up: a floor may have been given up by
  // the node's earlier run shortly before.
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
