#ifndef COORDINATION_GROUPS_GROUP_CONTROLLER_H_
#define COORDINATION_GROUPS_GROUP_CONTROLLER_H_

#include <map>
#include <set>
#include <variant>
#include <vector>

#include "coordination/actions.h"
#include "coordination/groups/domain_reconciler.h"
#include "coordination/groups/group_controller_settings.h"
#include "coordination/groups/repair_planner.h"
#include "coordination/groups/vm_probe.h"
#include "state/state.h"

namespace gcw {

// A domain's record was committed. Other modules and nodes learn of it from
// this action or from a watch.
struct RecordCommitted {
  DomainRecord record;
  Revision revision;
};

using GroupControllerAction =
    std::variant<StoreRequest, SendOrder, ProbeVm, RecordCommitted>;

// Manages the replica groups of the fabric domains whose controller role this
// node holds: records which VMs form which group, sends orders to their
// engines, and repairs groups that lost VMs. It plans for its whole zone, so
// that controllers with the same information choose the same moves, and carries
// out the moves of its own domains.
class GroupController {
 public:
  class Builder;

  // This node holds `role/keeper/<domain>`. Called again after each renewal.
  void OnRoleHeld(Time now,
                  const FabricDomainId& domain,
                  FencingToken fence,
                  Time valid_until);
  void OnRoleLost(const FabricDomainId& domain);

  void OnVmList(Time now, const VmListSnapshot& snapshot);
  // A record of another domain, from a watch or a peer. Records of other zones
  // are not planned with.
  void OnDomainRecord(const DomainRecord& record, Revision revision);
  void OnDesiredModels(std::vector<DesiredModel> desired_models);
  // Sets how long a load queued now waits for the weight store, as reported by
  // `GET /weights`.
  void OnWeightStoreWait(Duration wait);
  // An operator requested the planned stop of a group in a domain of this
  // controller.
  void OnDrainRequested(const GroupId& group);

  void OnProbeReply(Time now, ProbeId id, const ProbeReply& reply);
  std::vector<GroupControllerAction> OnStoreReply(Time now,
                                                  StoreCallId id,
                                                  const StoreReply& reply);
  void OnOrderReply(Time now, OrderId id, const OrderReply& reply);

  std::vector<GroupControllerAction> Tick(Time now);

  // Returns the committed record as this node knows it, or null if this node
  // does not hold the domain's controller role or has not read the record yet.
  const DomainRecord* RecordOf(const FabricDomainId& domain) const;

 private:
  struct OtherRecord {
    DomainRecord record;
    Revision revision;
  };

  GroupController(ZoneId zone,
                  GroupControllerSettings settings,
                  DomainRecordCodec codec,
                  EventSink events);

  PlannerView MakeView(Time now) const;
  PlannerVm DescribeVm(Time now, const VmId& vm, const VmFacts& facts) const;
  std::map<FabricDomainId, std::vector<RepairMove>> PlanMoves(Time now);
  void RecordLosses(Time now);
  void ReconcileAll(Time now);
  void CollectCalls(Time now, std::vector<GroupControllerAction>& actions);
  void CollectOrders(Time now, std::vector<GroupControllerAction>& actions);

  ZoneId zone_;
  GroupControllerSettings settings_;
  DomainRecordCodec codec_;
  EventSink events_;
  VmTracker tracker_;
  FlapTracker flap_tracker_;
  RepairPlanner planner_;
  std::map<FabricDomainId, DomainReconciler> reconcilers_;
  std::map<FabricDomainId, OtherRecord> other_records_;
  std::vector<DesiredModel> desired_models_;
  Duration load_wait_;
  std::set<GroupId> requested_drains_;
  std::map<VmId, Incarnation> incarnations_;
  std::set<VmId> unreachable_;
  Time next_plan_;
  StoreCallId last_call_;
  OrderId last_order_;
};

class GroupController::Builder {
 public:
  Builder& SetZone(ZoneId zone);
  Builder& SetSettings(GroupControllerSettings settings);
  // Both hooks of the codec are required.
  Builder& SetCodec(DomainRecordCodec codec);
  Builder& SetEventSink(EventSink events);
  GroupController Build() const;

 private:
  ZoneId zone_;
  GroupControllerSettings settings_;
  DomainRecordCodec codec_;
  EventSink events_ = DiscardEvents();
};

}  // namespace gcw

#endif  // COORDINATION_GROUPS_GROUP_CONTROLLER_H_
