#ifndef COORDINATION_GATEWAY_GROUP_PLANNER_H_
#define COORDINATION_GATEWAY_GROUP_PLANNER_H_

#include <cstddef>
#include <map>
#include <optional>
#include <vector>

#include "state/state.h"

namespace gcw {

struct GroupPlannerSettings {
  // Number of VMs of a domain that are kept free for repairs rather than put
  // into one more group: a repair with a staged spare takes seconds, a load
  // takes many.
  std::size_t reserve_per_domain = 1;
  // Expected lifetime of a new group. Time spent waiting for a load reduces the
  // group's value in proportion.
  Duration expected_lifetime = Duration::Seconds(30);
  // A spare's weights are replaced only if another model's groups would be down
  // for more than this many times as long for want of a spare. The load itself
  // takes time, so a small gain does not pay.
  double min_restage_gain = 2;
  // How long the VMs of a given-up group serve no requests until the next group
  // opens.
  Duration regroup_downtime = Duration::Seconds(4);
  // Fraction of a group's members that have to be free already before other
  // groups are given up for it. The rest of a group that lost a member meets
  // it, while a temporary shortage does not regroup a whole domain.
  double min_free_fraction = 0.5;
  // Minimum gain for which a large group is given up for several small ones.
  // Smaller gains are within the noise of the demand's estimate.
  double min_split_gain = 0.005;
  // Minimum number of a model's groups in a domain before the hosts of their
  // members get a larger model's weights. With fewer groups, giving one up
  // costs more than waiting for a load.
  std::int64_t min_standby_groups = 3;
};

// A VM that can become a member of a group.
struct VmCandidate {
  VmId vm;
  // Models whose weights its host holds.
  std::vector<ModelId> staged;
  // The model of its last group, which starts fastest; may be empty.
  ModelId last_model;
  // The model that its host is loading; may be empty.
  ModelId loading_model;
  // Its group would be slowed down by it, so it is chosen last.
  bool is_slow = false;
  // It tolerates few requests for now, so it should not receive its group's.
  bool is_cold = false;
  // Start of its run, where endpoints are cold after a start; otherwise zero.
  Incarnation started;
};

// A serving group and its usable members.
struct ServingGroup {
  GroupId id;
  ModelId model;
  std::vector<VmCandidate> members;
  bool may_be_given_up = true;
};

// Planner input for one fabric domain.
struct DomainSnapshot {
  // Groups of a model that end and are to be formed again.
  struct EndingGroups {
    std::size_t count = 0;
    // Members of these groups that cannot join the new groups.
    std::size_t unusable_members = 0;
  };

  FabricDomainId domain;
  std::vector<VmCandidate> free_vms;
  // Groups that are open or being formed, by model.
  std::map<ModelId, std::size_t> group_counts;
  std::map<ModelId, EndingGroups> ending_groups;
  std::vector<ServingGroup> serving_groups;
  // The model for which groups were given up, and the number of groups that are
  // awaited of it; may be empty.
  ModelId regroup_target;
  std::size_t regroup_count = 1;
  // Whether serving groups may be given up for groups of another model.
  bool may_regroup = false;
  // All usable VMs, in groups or not.
  std::size_t vm_count = 0;
  // Whether VMs still appear, as after a start of the whole fleet.
  bool is_populating = false;
  // Whether more VMs will be free shortly. Forming groups of the VMs that are
  // free already could leave too few for a large group.
  bool awaits_free_vms = false;
};

struct PlannedGroup {
  FabricDomainId domain;
  ModelId model;
  // Members in rank order.
  std::vector<VmId> members;
};

enum class StagingPurpose {
  // A spare loads the weights that a repair would need.
  kSpare,
  // The host of a serving VM loads a larger model's weights, so that the VM can
  // join a group of that model without a load.
  kStandby,
};

struct PlannedStaging {
  FabricDomainId domain;
  VmId vm;
  ModelId model;
  StagingPurpose purpose = StagingPurpose::kSpare;
};

// Groups of one domain that are to be given up for a group of another model.
struct Regrouping {
  FabricDomainId domain;
  ModelId model;
  ModelId given_up_model;
  std::vector<GroupId> given_up;
  // Number of groups of `model` that the freed VMs form.
  std::size_t new_groups = 1;
};

struct GroupPlan {
  std::vector<PlannedGroup> groups;
  std::vector<PlannedStaging> stagings;
  std::vector<Regrouping> regroupings;
};

// Which models may get groups for which serving groups are given up.
enum class RegroupingScope {
  // Models with larger groups than the given-up ones: small groups fit into
  // the VMs that are free anyway.
  kLargerGroups,
  // All models, so that VMs move to whichever model needs them.
  kAllModels,
};

// Plans which groups to form of free VMs, over all domains of one service, and
// which weights the remaining free VMs should hold. The number of groups
// follows the models' shares of the work; a group never spans domains.
class GroupPlanner {
 public:
  explicit GroupPlanner(GroupPlannerSettings settings) : settings_(settings) {}

  // Plans `domains`. `others` stay unchanged and count only towards the fleet's
  // number of groups, so that the cost of planning is proportional to what
  // changed.
  GroupPlan Plan(const EngineProfile& profile,
                 std::vector<DomainSnapshot> domains,
                 const std::vector<const DomainSnapshot*>& others = {},
                 RegroupingScope scope = RegroupingScope::kLargerGroups) const;

 private:
  // Numbers of groups or VMs, by model in the profile's order.
  using Counts = std::vector<std::size_t>;
  // Totals over all domains.
  struct FleetTotals {
    double vms = 0;
    // Number of VMs of the largest domain, and at least enough for one group of
    // each model and the reserve.
    std::size_t largest_domain = 0;
    // Existing groups, by model.
    std::vector<double> groups;
    // Groups that are about to be formed, by model: successors of groups that
    // end, or groups for which others were given up.
    std::vector<double> awaited;
    // Whether some domain awaits groups for which others were given up.
    bool is_regrouping = false;
    // Groups that would exist if every domain were complete, by model.
    std::vector<double> target_groups;
    // Best mix of a complete domain, by its number of VMs. Most domains have
    // the same number.
    std::map<std::size_t, Counts> complete_mixes;
  };

  FleetTotals ComputeTotals(
      const EngineProfile& profile,
      const std::vector<const DomainSnapshot*>& domains) const;
  // Returns the mix of a domain with this number of VMs, all of them free.
  Counts CompleteDomainMix(const EngineProfile& profile, std::size_t vms) const;
  // Returns the most valuable numbers of groups of each model that `vms` VMs
  // can form. `coverage` is the fraction of each model's share that the fleet
  // already covers; `startable` is the number of the VMs that can start each
  // model without a load.
  Counts FindBestMix(const EngineProfile& profile,
                     std::size_t vms,
                     const std::vector<double>& coverage,
                     const Counts& startable) const;
  // Returns the groups to form while a domain's VMs still appear.
  Counts StartupMix(const EngineProfile& profile,
                    const DomainSnapshot& domain,
                    const Counts& target) const;
  Counts SteadyMix(const EngineProfile& profile,
                   const DomainSnapshot& domain,
                   const FleetTotals& fleet) const;
  void FormGroups(const EngineProfile& profile,
                  const Counts& mix,
                  DomainSnapshot& domain,
                  FleetTotals& fleet,
                  GroupPlan& plan) const;
  static void FormGroup(const EngineProfile& profile,
                        std::size_t model_index,
                        DomainSnapshot& domain,
                        FleetTotals& fleet,
                        GroupPlan& plan);
  // Forms the groups for which the domain's groups were given up.
  static void FormRegroupedGroups(const EngineProfile& profile,
                                  DomainSnapshot& domain,
                                  FleetTotals& fleet,
                                  GroupPlan& plan);
  // Groups of one model to give up for a group of another, and the gain.
  struct RegroupingOption {
    std::vector<GroupId> given_up;
    // Gain in the fleet's value, less the cost of the interruption. A
    // regrouping pays only if this is positive.
    double gain = 0;
    // New groups of the wanted model.
    std::size_t new_groups = 1;
  };
  RegroupingOption EvaluateRegrouping(const EngineProfile& profile,
                                      const DomainSnapshot& domain,
                                      const FleetTotals& fleet,
                                      std::size_t from,
                                      std::size_t to) const;
  // Evaluates giving up one group of `from` for several smaller ones of `to`.
  RegroupingOption EvaluateSplit(const EngineProfile& profile,
                                 const DomainSnapshot& domain,
                                 const FleetTotals& fleet,
                                 std::size_t from,
                                 std::size_t to) const;
  // Returns the regrouping with the highest gain, or nothing if none pays.
  std::optional<Regrouping> FindRegrouping(const EngineProfile& profile,
                                           const DomainSnapshot& domain,
                                           const FleetTotals& fleet,
                                           RegroupingScope scope) const;
  // Updates the fleet's totals as if the regrouping were complete.
  static void ApplyRegrouping(const EngineProfile& profile,
                              const Regrouping& regrouping,
                              FleetTotals& fleet);
  // Plans standby loads of a larger model's weights on the hosts of serving
  // VMs.
  void StageStandby(const EngineProfile& profile,
                    const DomainSnapshot& domain,
                    GroupPlan& plan) const;
  // Plans standby loads of a smaller model's weights on the hosts of the
  // members of large groups, so that these can be split without a load.
  static void StageSplitStandby(const EngineProfile& profile,
                                const DomainSnapshot& domain,
                                GroupPlan& plan);
  // Plans to replace one spare's weights if another model needs a spare far
  // more.
  void RestageSpare(const EngineProfile& profile,
                    const DomainSnapshot& domain,
                    const Counts& spares,
                    GroupPlan& plan) const;
  void StageSpares(const EngineProfile& profile,
                   const DomainSnapshot& domain,
                   GroupPlan& plan) const;

  GroupPlannerSettings settings_;
};

}  // namespace gcw

#endif  // COORDINATION_GATEWAY_GROUP_PLANNER_H_
