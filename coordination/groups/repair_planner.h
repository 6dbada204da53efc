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
  // Answers, and belongs where the records say.
  kHealthy,
  // Answers as a new incarnation that is in no group.
  kRestarted,
  // Does not answer, or its engine failed.
  kLost,
  // The platform is about to take it away.
  kLeaving,
};

// A VM as the planner sees it.
struct PlannerVm {
  FabricDomainId domain;
  std::int64_t accelerators = 0;
  VmCondition condition = VmCondition::kHealthy;
  // Confirmed idle and recorded nowhere: may join a group now.
  bool assignable = false;
  // Failed often of late: joins no group before its hold-off ends.
  bool held_off = false;
};

// Everything a plan follows from.
struct PlannerView {
  ZoneId zone;
  std::map<FabricDomainId, DomainRecord> records;
  std::map<VmId, PlannerVm> vms;
  std::vector<WantedModel> wanted;
  // Draining groups that serve nothing any more.
  std::set<GroupId> drained;
  // Groups that operators asked to stop.
  std::set<GroupId> drains_asked;
  // How long a load queued now would wait for the weight store.
  Duration load_wait;
};

// Why a move is made, in the order in which the ways are tried.
enum class RepairReason {
  kSpare,
  kBorrow,
  kRebuildElsewhere,
  kFill,
  kGiveUp,
  kPlannedStop,
};

std::string_view RepairReasonName(RepairReason reason);

// Gives a group other members; its generation grows.
struct ReplaceMembers {
  FabricDomainId domain;
  GroupId group;
  std::vector<VmId> removed;
  std::vector<VmId> added;
  RepairReason reason = RepairReason::kSpare;
};

// Makes a new group of free VMs.
struct FormGroup {
  FabricDomainId domain;
  ModelId model;
  std::vector<VmId> members;
  RepairReason reason = RepairReason::kFill;
};

// Lets a serving group finish what it runs before it is dissolved or repaired.
struct DrainGroup {
  FabricDomainId domain;
  GroupId group;
  RepairReason reason = RepairReason::kPlannedStop;
};

// Frees all members of a group that serves nothing any more.
struct DissolveGroup {
  FabricDomainId domain;
  GroupId group;
  RepairReason reason = RepairReason::kGiveUp;
};

using RepairMove =
    std::variant<ReplaceMembers, FormGroup, DrainGroup, DissolveGroup>;

// Settings of the planner.
struct PlannerSettings {
  RepairWeights weights;
  // Off: broken groups are repaired in order of arrival with spares of their
  // domain, and free VMs form groups whatever the weights say. Kept as the
  // benchmark's baseline.
  bool by_need = true;
  // How long a lost VM is usually away until it answers again.
  Duration usual_return = Duration::Seconds(180);
  // How long a group usually takes to load.
  Duration usual_load = Duration::Seconds(90);
  // How long draining a group usually takes.
  Duration usual_drain = Duration::Seconds(30);
  // Losses per VM and day that spares are kept for.
  double losses_per_vm_day = 0.05;
  // A domain is dark when at least this share of its VMs is lost.
  double dark_share = 0.5;
  // Groups of a dark domain are rebuilt elsewhere only after this time: most
  // switches come back sooner than weights are loaded.
  Duration dark_hold = Duration::Seconds(120);
  // No new load is started while one would wait longer than this for the weight
  // store: it would only make all loads end late.
  Duration longest_load_wait = Duration::Seconds(60);
  // Loads under way at once in the zone; more would only share the weight
  // store's rate and all end late.
  std::int64_t most_loads = 4;
  // Serving groups taken apart for others within `borrow_window`.
  std::int64_t most_borrows = 2;
  Duration borrow_window = Duration::Seconds(60);
};

// Chooses the next moves of one zone. Holds only what rate limits need, so that
// a new keeper may start with an empty planner. Moves come with the highest
// need first; each is valid against `view` together with those before it.
class RepairPlanner {
 public:
  explicit RepairPlanner(PlannerSettings settings);

  std::vector<RepairMove> Plan(Time now, const PlannerView& view);

  // Whether the domain lost so many VMs that it counts as dark.
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
  // When serving groups were last taken apart for others.
  std::vector<Time> borrows_;
};

}  // namespace gcw

#endif  // COORDINATION_GROUPS_REPAIR_PLANNER_H_
