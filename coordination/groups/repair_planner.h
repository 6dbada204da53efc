#ifndef COORDINATION_GROUPS_REPAIR_PLANNER_H_
#define COORDINATION_GROUPS_REPAIR_PLANNER_H_

#include <cstdint>
#include <map>
#include <set>
#include <string_view>
#include <variant>
#include <vector>

#include "state/state.h"

namespace gcw {

enum class VmCondition {
  // The VM answers, and its group is the one in the records.
  kHealthy,
  // The VM answers as a new incarnation that is in no group.
  kRestarted,
  // The VM does not answer, or its engine failed.
  kLost,
  // The platform is about to remove the VM.
  kLeaving,
};

// A VM as the planner sees it.
struct PlannerVm {
  FabricDomainId domain;
  std::int64_t accelerators = 0;
  VmCondition condition = VmCondition::kHealthy;
  // The VM is confirmed idle and in no record: it may join a group now.
  bool assignable = false;
  // The VM failed often recently: it joins no group before its hold-off ends.
  bool held_off = false;
};

// The input of a plan.
struct PlannerView {
  ZoneId zone;
  std::map<FabricDomainId, DomainRecord> records;
  std::map<VmId, PlannerVm> vms;
  std::vector<DesiredModel> desired_models;
  // Draining groups that no longer serve requests.
  std::set<GroupId> drained;
  // Groups that operators asked to stop.
  std::set<GroupId> requested_drains;
  // How long a load queued now would wait for the weight store.
  Duration load_wait;
};

// Why a move is made.
enum class RepairReason {
  kSpare,
  kBorrow,
  kRebuildElsewhere,
  kFill,
  kGiveUp,
  kPlannedStop,
};

std::string_view RepairReasonName(RepairReason reason);

// Replaces members of a group; its generation increases.
struct ReplaceMembers {
  FabricDomainId domain;
  GroupId group;
  std::vector<VmId> removed;
  std::vector<VmId> added;
  RepairReason reason = RepairReason::kSpare;
};

// Forms a new group of free VMs.
struct FormGroup {
  FabricDomainId domain;
  ModelId model;
  std::vector<VmId> members;
  RepairReason reason = RepairReason::kFill;
};

// Lets a serving group finish its running requests before it is dissolved or
// repaired.
struct DrainGroup {
  FabricDomainId domain;
  GroupId group;
  RepairReason reason = RepairReason::kPlannedStop;
};

// Frees all members of a group that no longer serves requests.
struct DissolveGroup {
  FabricDomainId domain;
  GroupId group;
  RepairReason reason = RepairReason::kGiveUp;
};

using RepairMove =
    std::variant<ReplaceMembers, FormGroup, DrainGroup, DissolveGroup>;

// Settings of `RepairPlanner`.
struct PlannerSettings {
  RepairWeights weights;
  // If false, broken groups are repaired in the order in which they broke, only
  // with spares of their domain, and free VMs form groups regardless of the
  // weights. This is the benchmark's baseline.
  bool prioritize_by_need = true;
  // Usual time until a lost VM answers again.
  Duration mean_recovery_time = Duration::Seconds(180);
  // Usual time to load a group.
  Duration expected_load_time = Duration::Seconds(90);
  // Usual time to drain a group.
  Duration expected_drain_time = Duration::Seconds(30);
  // Losses per VM and day for which spares are kept.
  double losses_per_vm_day = 0.05;
  // A domain is dark if at least this share of its VMs is lost.
  double dark_share = 0.5;
  // Groups of a dark domain are rebuilt elsewhere only after this time, because
  // most switches come back sooner than weights are loaded.
  Duration dark_hold = Duration::Seconds(120);
  // No load starts if it would wait longer than this for the weight store,
  // because it would only make all loads end late.
  Duration max_load_wait = Duration::Seconds(60);
  // Maximum number of concurrent loads in the zone. More would share the weight
  // store's rate, and all would end late.
  std::int64_t max_loads = 4;
  // Maximum number of serving groups taken apart for others within
  // `borrow_window`.
  std::int64_t max_borrows = 2;
  Duration borrow_window = Duration::Seconds(60);
};

// Chooses the next moves of one zone. Holds only the state that rate limits
// need, so that a new controller may start with an empty planner. The moves
// with the highest need come first; each is valid against `view` with the
// earlier moves applied.
class RepairPlanner {
 public:
  explicit RepairPlanner(PlannerSettings settings);

  std::vector<RepairMove> Plan(Time now, const PlannerView& view);

  // True if the domain counts as dark.
  bool IsDark(const FabricDomainId& domain) const {
    return dark_since_.contains(domain);
  }

 private:
  void UpdateDark(Time now, const PlannerView& view);
  void UpdateBroken(Time now, const PlannerView& view);
  std::int64_t LoadBudget(const PlannerView& view) const;

  PlannerSettings settings_;
  std::map<FabricDomainId, Time> dark_since_;
  std::map<GroupId, Time> broken_since_;
  // When serving groups were taken apart for others within `borrow_window`.
  std::vector<Time> borrow_times_;
};

}  // namespace gcw

#endif  // COORDINATION_GROUPS_REPAIR_PLANNER_H_
