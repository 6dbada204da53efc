#ifndef COORDINATION_GATEWAY_GROUP_PLANNER_H_
#define COORDINATION_GATEWAY_GROUP_PLANNER_H_

#include <cstddef>
#include <map>
#include <optional>
#include <vector>

#include "state/state.h"

namespace gcw {

struct GroupPlannerSettings {
  // VMs of a domain that are better kept free for repairs than put into one
  // more group: a repair with a staged spare takes seconds, a load many.
  std::size_t reserve_per_domain = 1;
  // How long a group is expected to serve as it is planned. One that waits for
  // a load first is worth that much less.
  Duration expected_life = Duration::Seconds(30);
  // A spare's weights are replaced by those of a model whose groups would be
  // down for this many times as long for want of a spare. The load takes their
  // place for its time, so a small gain is none.
  double least_restage_gain = 2;
  // How long the VMs of a given-up group serve nobody until the next group
  // opens.
  Duration regroup_time = Duration::Seconds(4);
  // Part of a group's members that have to be free already before others are
  // given up for it: the rest of a group that lost a member has them, and a
  // whole domain is not turned over for a shortage that passes.
  double min_free_part = 0.5;
  // Hosts of VMs that serve get a larger model's weights where the domain has
  // so many groups of theirs; with fewer, giving one up costs more than the
  // wait for a load.
  std::int64_t min_standby_groups = 3;
};

// A VM that a group may be formed of.
struct FreeVm {
  VmId vm;
  // Models that it can take up without a load.
  std::vector<ModelId> at_hand;
  // The model of its last group, which it takes up fastest; may be empty.
  ModelId last_model;
  // The model that is being loaded onto its host; may be empty.
  ModelId loading;
  // Its group would run at its pace: taken last.
  bool slow = false;
};

// A group that serves, with what its members could take up instead.
struct StandingGroup {
  GroupId id;
  ModelId model;
  std::vector<FreeVm> members;
  bool may_be_given_up = true;
};

// What is known of one fabric domain.
struct PlannedDomain {
  // Groups of a model that end and are to be formed again.
  struct Ending {
    std::size_t groups = 0;
    // Their members that cannot take part in that.
    std::size_t lost = 0;
  };

  FabricDomainId domain;
  std::vector<FreeVm> free;
  // VMs in groups that are or will be whole, by model.
  std::map<ModelId, std::size_t> groups;
  std::map<ModelId, Ending> ending;
  std::vector<StandingGroup> standing;
  // The model that VMs of given-up groups were freed for; may be empty.
  ModelId regroups_for;
  // Groups that serve may be given up for those of another model.
  bool may_regroup = false;
  // All VMs that live, in groups or not.
  std::size_t vms = 0;
  // VMs still appear, as after a start of the whole fleet.
  bool filling = false;
  // Some VMs will be free in a moment: forming groups of the others already
  // would leave no room for the large ones.
  bool unsettled = false;
};

struct PlannedGroup {
  FabricDomainId domain;
  ModelId model;
  // In rank order.
  std::vector<VmId> members;
};

enum class StagingPurpose {
  // A spare gets the weights that a repair would need.
  kSpare,
  // The host of a VM that serves gets a larger model's weights, so that the VM
  // can join a group of it without a load.
  kStandby,
};

struct PlannedStaging {
  FabricDomainId domain;
  VmId vm;
  ModelId model;
  StagingPurpose purpose = StagingPurpose::kSpare;
};

// Groups of one domain that are to be given up for those of another model.
struct Regrouping {
  FabricDomainId domain;
  ModelId model;
  ModelId given_up_model;
  std::vector<GroupId> given_up;
};

struct GroupPlan {
  std::vector<PlannedGroup> groups;
  std::vector<PlannedStaging> stagings;
  std::vector<Regrouping> regroupings;
};

// Decides which groups to form of VMs that are free, over all domains of one
// service, and which weights the VMs that stay free should hold. Groups follow
// the models' parts of the work; a group never leaves its domain.
class GroupPlanner {
 public:
  explicit GroupPlanner(GroupPlannerSettings settings) : settings_(settings) {}

  // Plans `domains`. `others` stay as they are and count only for how many
  // groups the fleet has: planning costs in proportion to what changed.
  GroupPlan Plan(const EngineProfile& profile,
                 std::vector<PlannedDomain> domains,
                 const std::vector<const PlannedDomain*>& others = {}) const;

 private:
  // Numbers of groups, or of VMs, by model in the profile's order.
  using Counts = std::vector<std::size_t>;
  // What is known of all domains together.
  struct Fleet {
    double vms = 0;
    // As many VMs as the largest domain has, at least one group of each model.
    std::size_t largest_domain = 0;
    // Groups that there are, and that there would be if every domain were
    // whole.
    std::vector<double> groups;
    // Groups that end and are about to be formed again.
    std::vector<double> awaited;
    std::vector<double> wanted;
    // Of domains that are whole, by their VMs: most domains have as many.
    std::map<std::size_t, Counts> whole_mixes;
  };

  Fleet Survey(const EngineProfile& profile,
               const std::vector<const PlannedDomain*>& domains) const;
  // What a domain with that many VMs would have if they were all free.
  Counts MixOfWhole(const EngineProfile& profile, std::size_t vms) const;
  // How many groups of each model so many VMs would best form, when the fleet
  // has `fill` of each model's part already and so many of the VMs have each
  // model's weights.
  Counts BestMix(const EngineProfile& profile,
                 std::size_t vms,
                 const std::vector<double>& fill,
                 const Counts& at_hand) const;
  // What to form already while a domain's VMs still appear.
  Counts MixOfFilling(const EngineProfile& profile,
                      const PlannedDomain& domain,
                      const Counts& target) const;
  Counts MixOfSettled(const EngineProfile& profile,
                      const PlannedDomain& domain,
                      const Fleet& fleet) const;
  void FormGroups(const EngineProfile& profile,
                  const Counts& mix,
                  PlannedDomain& domain,
                  Fleet& fleet,
                  GroupPlan& plan) const;
  static void FormGroup(const EngineProfile& profile,
                        std::size_t model_index,
                        PlannedDomain& domain,
                        Fleet& fleet,
                        GroupPlan& plan);
  // Forms the group that the domain's VMs were freed for.
  static void FormAwaited(const EngineProfile& profile,
                          PlannedDomain& domain,
                          Fleet& fleet,
                          GroupPlan& plan);
  // What it takes to form a group of one model by giving up some of another.
  struct RegroupingChoice {
    std::vector<GroupId> given_up;
    // Part of the fleet's worth, less the interruption; not above zero where
    // it does not pay.
    double gain = 0;
  };
  RegroupingChoice WeighRegrouping(const EngineProfile& profile,
                                   const PlannedDomain& domain,
                                   const Fleet& fleet,
                                   std::size_t from,
                                   std::size_t to) const;
  // The regrouping that serves the fleet most beyond its cost; absent where
  // none does.
  std::optional<Regrouping> FindRegrouping(const EngineProfile& profile,
                                           const PlannedDomain& domain,
                                           const Fleet& fleet) const;
  // Counts the regrouping as carried out.
  static void CountAsDone(const EngineProfile& profile,
                          const Regrouping& change,
                          Fleet& fleet);
  // Gives the hosts of VMs that serve the weights of a larger model.
  void StageStandby(const EngineProfile& profile,
                    const PlannedDomain& domain,
                    GroupPlan& plan) const;
  // Has one spare load other weights where those are missed far more.
  void RestageSpare(const EngineProfile& profile,
                    const PlannedDomain& domain,
                    const Counts& spares,
                    GroupPlan& plan) const;
  void StageSpares(const EngineProfile& profile,
                   const PlannedDomain& domain,
                   GroupPlan& plan) const;

  GroupPlannerSettings settings_;
};

}  // namespace gcw

#endif  // COORDINATION_GATEWAY_GROUP_PLANNER_H_
