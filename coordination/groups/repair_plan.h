#ifndef COORDINATION_GROUPS_REPAIR_PLAN_H_
#define COORDINATION_GROUPS_REPAIR_PLAN_H_

#include <cstdint>
#include <map>
#include <set>
#include <tuple>
#include <vector>

#include "coordination/groups/repair_planner.h"
#include "state/state.h"

namespace gcw {

// What the planner remembers between rounds, as the input of one round.
struct PlanContext {
  Time now;
  // The dark domains and when each became dark.
  std::map<FabricDomainId, Time> dark_since;
  // The broken groups and when each lost its first member.
  std::map<GroupId, Time> broken_since;
  // How many loads may start, and how many serving groups may be taken apart.
  std::int64_t load_budget = 0;
  std::int64_t borrow_budget = 0;
};

// One planning round. Chooses moves one after another; each takes the earlier
// ones into account.
class RepairPlan {
 public:
  RepairPlan(const PlannerSettings& settings,
             const PlannerView& view,
             PlanContext context);

  std::vector<RepairMove> Run();

  // Number of serving groups that this round takes apart for others.
  std::int64_t borrowed() const { return borrowed_; }

 private:
  // The state of a group during the round.
  struct GroupView {
    FabricDomainId domain;
    const GroupRecord* record = nullptr;
    const DesiredModel* model = nullptr;
    // Members that must be replaced.
    std::vector<VmId> to_replace;
    // Those of `lost` that are running again but flap.
    std::vector<VmId> flapping;
    bool is_leaving = false;
    bool is_broken = false;
    // The round replaces members of the group or loads it again.
    bool is_reloaded = false;
    // The round takes the group apart, so the group no longer counts.
    bool is_retired = false;
  };

  void CollectFreeVms();
  void CollectGroups();
  GroupView DescribeGroup(const FabricDomainId& domain,
                          const GroupRecord& record) const;
  const DesiredModel* FindModel(const ModelId& model) const;
  GroupTarget TargetOf(const DesiredModel& model) const;

  void FinishDrained();
  void StartPlannedStops();
  void TrimExcess();
  void RepairBroken();
  void Repair(GroupView& group);
  bool RepairInPlace(GroupView& group);
  bool Borrow(GroupView& group);
  bool RebuildElsewhere(GroupView& group);
  bool GiveUp(GroupView& group);
  bool ReinstateFlapping(GroupView& group);
  void Reload(GroupView& group, const std::vector<VmId>& removed);
  void FillToMinimum();
  void FillSurplus();
  bool FormNewGroup(const DesiredModel& model, RepairReason reason);

  bool IsInDarkHold(const FabricDomainId& domain) const;
  bool IsSurplus(const GroupView& group) const;
  // Sort key by need; the group with the lowest key is needed most.
  std::tuple<bool, std::int64_t, std::int64_t, Time> NeedOf(
      const GroupView& group) const;
  // True if `a` may be taken apart for `b`.
  bool IsLessNeeded(const GroupView& a, const GroupView& b) const;
  std::int64_t CountGroups(const ModelId& model) const;
  std::int64_t CountServing(const ModelId& model) const;
  const FabricDomainId* DomainWithMostFree(std::int64_t vms) const;
  // True if `vms` VMs are worth more in a group than as spares in addition to
  // `spares_left` others.
  bool IsWorthMoreThanSpares(const FabricDomainId& domain,
                             std::int64_t spares_left,
                             std::int64_t vms) const;
  std::vector<VmId> TakeFree(const FabricDomainId& domain, std::size_t count);

  const PlannerSettings& settings_;
  const PlannerView& view_;
  PlanContext context_;
  std::map<FabricDomainId, std::vector<VmId>> free_vms_;
  std::map<FabricDomainId, std::int64_t> vm_count_;
  std::vector<GroupView> groups_;
  std::vector<RepairMove> moves_;
  std::int64_t borrowed_ = 0;
};

}  // namespace gcw

#endif  // COORDINATION_GROUPS_REPAIR_PLAN_H_
