#ifndef COORDINATION_GROUPS_GROUP_KEEPER_H_
#define COORDINATION_GROUPS_GROUP_KEEPER_H_

#include <map>
#include <set>
#include <variant>
#include <vector>

#include "coordination/actions.h"
#include "coordination/groups/keeper_settings.h"
#include "coordination/groups/kept_domain.h"
#include "coordination/groups/repair_planner.h"
#include "coordination/groups/vm_probe.h"
#include "state/state.h"

namespace gcw {

// The record of a domain is committed; other modules and nodes learn it from
// here or by a watch.
struct RecordCommitted {
  DomainRecord record;
  Revision revision;
};

using GroupKeeperAction =
    std::variant<StoreRequest, SendOrder, ProbeVm, RecordCommitted>;

// Keeps the replica groups of the fabric domains whose keeper role this node
// holds: writes down which VMs form which group, tells their engines, and
// repairs groups that lost VMs. It plans over its whole zone, so that keepers
// with the same knowledge choose the same moves, and carries out those of its
// own domains.
class GroupKeeper {
 public:
  class Builder;

  // Role `role/keeper/<domain>` is held; called again after each renewal.
  void OnRoleHeld(Time now,
                  const FabricDomainId& domain,
                  FencingToken fence,
                  Time valid_until);
  void OnRoleLost(const FabricDomainId& domain);

  void OnVmList(Time now, const VmListSnapshot& snapshot);
  // Records of the zone's other domains, from a watch or a peer.
  void OnDomainRecord(const DomainRecord& record, Revision revision);
  void OnWantedModels(std::vector<WantedModel> wanted);
  // From `GET /weights`: how long a load queued now waits.
  void OnWeightStoreWait(Duration wait);
  // An operator's planned stop of a group of a domain kept here.
  void OnDrainAsked(const GroupId& group);

  void OnProbeReply(Time now, ProbeId id, const ProbeReply& reply);
  std::vector<GroupKeeperAction> OnStoreReply(Time now,
                                              StoreCallId id,
                                              const StoreReply& reply);
  void OnOrderReply(Time now, OrderId id, const OrderReply& reply);

  std::vector<GroupKeeperAction> Tick(Time now);

  // The committed record as this node knows it; null where it is not the
  // domain's keeper or has not read the record yet.
  const DomainRecord* RecordOf(const FabricDomainId& domain) const;

 private:
  struct Foreign {
    DomainRecord record;
    Revision revision;
  };

  GroupKeeper(ZoneId zone,
              KeeperSettings settings,
              DomainRecordCodec codec,
              EventSink events);

  PlannerView MakeView(Time now) const;
  PlannerVm Describe(Time now, const VmId& vm, const VmFacts& facts) const;
  std::map<FabricDomainId, std::vector<RepairMove>> PlanMoves(Time now);
  void NoteLosses(Time now);
  void AdvanceAll(Time now);
  void CollectCalls(Time now, std::vector<GroupKeeperAction>& actions);
  void CollectOrders(Time now, std::vector<GroupKeeperAction>& actions);

  ZoneId zone_;
  KeeperSettings settings_;
  DomainRecordCodec codec_;
  EventSink events_;
  VmTracker tracker_;
  FlapTracker flaps_;
  RepairPlanner planner_;
  std::map<FabricDomainId, KeptDomain> kept_;
  std::map<FabricDomainId, Foreign> foreign_;
  std::vector<WantedModel> wanted_;
  Duration load_wait_;
  std::set<GroupId> drains_asked_;
  std::map<VmId, Incarnation> incarnations_;
  std::set<VmId> unreachable_;
  Time next_plan_;
  StoreCallId last_call_;
  OrderId last_order_;
};

// Builds a group keeper.
class GroupKeeper::Builder {
 public:
  Builder& SetZone(ZoneId zone);
  Builder& SetSettings(KeeperSettings settings);
  // Both hooks are required.
  Builder& SetCodec(DomainRecordCodec codec);
  Builder& SetEventSink(EventSink events);
  GroupKeeper Build() const;

 private:
  ZoneId zone_;
  KeeperSettings settings_;
  DomainRecordCodec codec_;
  EventSink events_ = DiscardEvents();
};

}  // namespace gcw

#endif  // COORDINATION_GROUPS_GROUP_KEEPER_H_
