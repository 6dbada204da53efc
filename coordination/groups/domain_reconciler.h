#ifndef COORDINATION_GROUPS_DOMAIN_RECONCILER_H_
#define COORDINATION_GROUPS_DOMAIN_RECONCILER_H_

#include <map>
#include <optional>
#include <set>
#include <vector>

#include "coordination/groups/domain_writer.h"
#include "coordination/groups/group_controller_settings.h"
#include "coordination/groups/order_sender.h"
#include "coordination/groups/repair_planner.h"
#include "coordination/groups/vm_tracker.h"
#include "state/state.h"

namespace gcw {

// Manages one fabric domain while this node holds its controller role: keeps
// the domain's engines consistent with its record. The record is written first;
// engines are ordered only what is known to be committed.
class DomainReconciler {
 public:
  DomainReconciler(FabricDomainId domain,
                   const GroupControllerSettings& settings,
                   DomainWriter writer,
                   EventSink events);

  void OnRoleHeld(Time now, FencingToken fence, Time valid_until);

  // Writes what the evidence confirms and what `moves` ask for, if anything, in
  // one compare-and-swap.
  void Reconcile(Time now,
                 const VmTracker& tracker,
                 const std::vector<RepairMove>& moves);

  // Returns the call to the key-value service that is due, if any.
  std::optional<StoreCall> DueCall(Time now) { return writer_.Tick(now); }
  void OnCallSent(Time now, StoreCallId id) { writer_.OnCallSent(now, id); }
  // Returns true if a newer record became known.
  bool OnStoreReply(Time now, StoreCallId id, const StoreReply& reply);

  // Returns the orders that the committed record requires and that may be sent
  // now. `last_order` is the last id assigned; all domains share the ids.
  std::vector<SendOrder> DueOrders(Time now,
                                   const VmTracker& tracker,
                                   OrderId& last_order);
  void OnOrderReply(Time now, OrderId id, const OrderReply& reply);

  // Sets how closely `tracker` probes each VM of the domain.
  void SetProbeRates(VmTracker& tracker) const;

  // True if the VM is not in the record and its engine reported that it is idle
  // after the last order to it was over.
  bool IsAssignable(Time now, const VmTracker& tracker, const VmId& vm) const;

  VmCondition ConditionOf(Time now,
                          const VmTracker& tracker,
                          const VmId& vm) const;

  // Returns the draining groups that no longer serve requests.
  std::set<GroupId> DrainedGroups(Time now, const VmTracker& tracker) const;

  const DomainWriter& writer() const { return writer_; }

 private:
  void RecordFirstSeenTimes(Time now);
  bool RemoveDepartedMembers(Time now,
                             const VmTracker& tracker,
                             DomainRecord& next);
  bool MarkServingGroups(const VmTracker& tracker, DomainRecord& next);
  bool ApplyMoves(const VmTracker& tracker,
                  const std::vector<RepairMove>& moves,
                  DomainRecord& next);
  bool HasLeft(Time now,
               const VmTracker& tracker,
               const LeavingMember& member) const;
  bool IsDrained(Time now,
                 const VmTracker& tracker,
                 const GroupRecord& group) const;
  bool MayOrder(Time now, const VmFacts& facts) const;
  std::optional<EngineOrder> OrderFor(const VmTracker& tracker,
                                      const VmFacts& facts) const;
  std::optional<EngineOrder> OrderForMember(const VmTracker& tracker,
                                            const GroupRecord& group,
                                            const EngineStatus& status) const;
  EngineOrder MakeOrder(const VmTracker& tracker,
                        EngineOrderKind kind,
                        const GroupRecord& group) const;
  EngineOrder MakeLeaveOrder(const EngineStatus& status) const;
  ChangeId NextChange();
  GroupId NextGroup();

  FabricDomainId domain_;
  GroupControllerSettings settings_;
  DomainWriter writer_;
  OrderSender order_sender_;
  EventSink events_;
  // When this node first saw each group draining in the record.
  std::map<GroupId, Time> draining_since_;
  // When this node first saw each VM leaving in the record.
  std::map<VmId, Time> leaving_since_;
  std::int64_t last_change_ = 0;
  std::int64_t last_group_ = 0;
};

}  // namespace gcw

#endif  // COORDINATION_GROUPS_DOMAIN_RECONCILER_H_
