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

// What the planner remembers from one round to the next, as one round uses it.
struct PlanContext {
  Time now;
  // Domains that are dark, and since when.
  std::map<FabricDomainId, Time> dark_since;
  // Groups that lost a member, and since when.
  std::map<GroupId, Time> broken_since;
  // How many loads may be started, and how many serving groups taken apart.
  std::int64_t loads = 0;
  std::int64_t borrows = 0;
};

// One round of planning: chooses moves one after the other, each with what the
// earlier ones left.
class RepairPlan {
 public:
  RepairPlan(const PlannerSettings& settings,
             const PlannerView& view,
             PlanContext context);

  std::vector<RepairMove> Run();

  // How many serving groups the round takes apart for others.
  std::int64_t borrowed() const { return borrowed_; }

 private:
  // A group as the plan sees it.
  struct Seat {
    FabricDomainId domain;
    const GroupRecord* group = nullptr;
    const WantedModel* model = nullptr;
    // Members that must be replaced.
    std::vector<VmId> lost;
    // Of these, those that are back but flap.
    std::vector<VmId> flapping;
    bool is_leaving = false;
    bool is_broken = false;
    // The plan gives it other members or loads it again.
    bool is_moved = false;
    // No longer counted: the plan takes it apart.
    bool is_taken = false;
  };

  void CollectFree();
  void CollectSeats();
  Seat Describe(const FabricDomainId& domain, const GroupRecord& group) const;
  const WantedModel* FindModel(const ModelId& model) const;
  GroupTarget TargetOf(const WantedModel& model) const;

  void FinishDrained();
  void StartPlannedStops();
  void TrimExcess();
  void RepairBroken();
  void Repair(Seat& seat);
  bool RepairInPlace(Seat& seat);
  bool Borrow(Seat& seat);
  bool RebuildElsewhere(Seat& seat);
  bool GiveUp(Seat& seat);
  bool TakeFlappingBack(Seat& seat);
  void Reload(Seat& seat, const std::vector<VmId>& removed);
  void FillWanted();
  void FillSurplus();
  bool Form(const WantedModel& model, RepairReason reason);

  bool IsHeldDark(const FabricDomainId& domain) const;
  bool IsSurplus(const Seat& seat) const;
  // Orders groups by how much they are needed; the lowest is needed most.
  std::tuple<bool, std::int64_t, std::int64_t, Time> NeedOf(
      const Seat& seat) const;
  // Whether `a` may be taken apart for `b`.
  bool NeedsLess(const Seat& a, const Seat& b) const;
  std::int64_t CountGroups(const ModelId& model) const;
  std::int64_t CountServing(const ModelId& model) const;
  const FabricDomainId* RoomiestDomain(std::int64_t vms) const;
  // Whether `vms` VMs are better used in a group than kept as spares beside
  // `spares_left` others.
  bool IsWorthMoreThanSpares(const FabricDomainId& domain,
                             std::int64_t spares_left,
                             std::int64_t vms) const;
  std::vector<VmId> TakeFree(const FabricDomainId& domain, std::size_t count);

  const PlannerSettings& settings_;
  const PlannerView& view_;
  PlanContext context_;
  std::map<FabricDomainId, std::vector<VmId>> free_;
  std::map<FabricDomainId, std::int64_t> vm_count_;
  std::vector<Seat> seats_;
  std::vector<RepairMove> moves_;
  std::int64_t borrowed_ = 0;
};

}  // namespace gcw

#endif  // COORDINATION_GROUPS_REPAIR_PLAN_H_
