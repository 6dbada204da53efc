// Decides which groups are given up for groups of another model, and which
// weights are loaded in advance to make such a change quick.

#include <algorithm>
#include <cstdint>
#include <map>
#include <utility>

#include "coordination/gateway/group_planner.h"
#include "coordination/gateway/planner_measures.h"

namespace gcw {
namespace {

// Value of `groups` groups of the model in a fleet of `vms` VMs.
double ValueOfGroups(const ModelProfile& model, double groups, double vms) {
  return CoverageValue(model, groups * static_cast<double>(model.group_size) /
                                  (EffectiveShare(model) * vms));
}

std::size_t CountStartable(const std::vector<VmCandidate>& vms,
                           const ModelId& model) {
  return static_cast<std::size_t>(
      std::count_if(vms.begin(), vms.end(), [&](const VmCandidate& vm) {
        return !vm.is_slow && CanStartWithoutLoad(vm, model);
      }));
}

// Returns the model's groups that may be given up, sorted by descending number
// of members that can start `wanted` without a load.
std::vector<const ServingGroup*> FindDonors(const DomainSnapshot& domain,
                                            const ModelId& model,
                                            const ModelId& wanted) {
  std::vector<const ServingGroup*> donors;
  for (const ServingGroup& group : domain.serving_groups) {
    if (group.model == model && group.may_be_given_up) {
      donors.push_back(&group);
    }
  }
  std::stable_sort(donors.begin(), donors.end(),
                   [&](const ServingGroup* a, const ServingGroup* b) {
                     return CountStartable(a->members, wanted) >
                            CountStartable(b->members, wanted);
                   });
  return donors;
}

enum class SizeOrder { kLarger, kSmaller };

// Returns the model with the fewest holders for its group size among the models
// with larger, or smaller, groups than `than`, or null if there is none.
const ModelProfile* FindScarcestModel(
    const EngineProfile& profile,
    const ModelProfile& than,
    SizeOrder order,
    const std::map<ModelId, std::size_t>& holders) {
  const auto scarcity = [&](const ModelProfile& model) {
    return static_cast<double>(holders.at(model.model)) /
           static_cast<double>(model.group_size);
  };
  const ModelProfile* scarcest = nullptr;
  for (const ModelProfile& model : profile.models) {
    const bool is_candidate = order == SizeOrder::kLarger
                                  ? model.group_size > than.group_size
                                  : model.group_size < than.group_size;
    if (is_candidate &&
        (scarcest == nullptr || scarcity(model) < scarcity(*scarcest))) {
      scarcest = &model;
    }
  }
  return scarcest;
}

// Counts the VMs in serving groups whose hosts hold each model's weights.
std::map<ModelId, std::size_t> CountHolders(const EngineProfile& profile,
                                            const DomainSnapshot& domain) {
  std::map<ModelId, std::size_t> holders;
  for (const ModelProfile& model : profile.models) {
    std::size_t& count = holders[model.model];
    for (const ServingGroup& group : domain.serving_groups) {
      count += static_cast<std::size_t>(std::count_if(
          group.members.begin(), group.members.end(),
          [&](const VmCandidate& vm) { return HasStaged(vm, model.model); }));
    }
  }
  return holders;
}

// Whether the VM's host may load other weights than those that its engine runs.
bool MayLoadStandby(const VmCandidate& vm, const ModelId& running_model) {
  const bool holds_another =
      std::any_of(vm.staged.begin(), vm.staged.end(),
                  [&](const ModelId& model) { return model != running_model; });
  return !holds_another && vm.loading_model.empty() && !vm.is_slow;
}

// Plans standby loads of larger, or smaller, models' weights on the hosts of
// serving VMs, where the domain has at least `min_groups` groups of their
// model.
void PlanStandbyLoads(const EngineProfile& profile,
                      const DomainSnapshot& domain,
                      SizeOrder order,
                      std::int64_t min_groups,
                      GroupPlan& plan) {
  std::map<ModelId, std::size_t> holders = CountHolders(profile, domain);
  for (const ServingGroup& group : domain.serving_groups) {
    const auto own = std::find_if(
        profile.models.begin(), profile.models.end(),
        [&](const ModelProfile& model) { return model.model == group.model; });
    if (own == profile.models.end() || static_cast<std::int64_t>(GroupCountOf(
                                           domain, group.model)) < min_groups) {
      continue;
    }
    for (const VmCandidate& vm : group.members) {
      const ModelProfile* scarcest =
          FindScarcestModel(profile, *own, order, holders);
      if (scarcest == nullptr || !MayLoadStandby(vm, group.model)) {
        continue;
      }
      ++holders[scarcest->model];
      plan.stagings.push_back(
          {domain.domain, vm.vm, scarcest->model, StagingPurpose::kStandby});
    }
  }
}

}  // namespace

void GroupPlanner::FormRegroupedGroups(const EngineProfile& profile,
                                       DomainSnapshot& domain,
                                       FleetTotals& fleet,
                                       GroupPlan& plan) {
  for (std::size_t i = 0; i < profile.models.size(); ++i) {
    const ModelProfile& model = profile.models[i];
    if (domain.regroup_target != model.model) {
      continue;
    }
    for (std::size_t n = 0;
         n < domain.regroup_count && domain.free_vms.size() >= model.group_size;
         ++n) {
      FormGroup(profile, i, domain, fleet, plan);
    }
  }
}

// A domain whose large group lost a member has too few free VMs for another
// one. Small groups formed of them would leave the large model permanently
// without groups, while the small model has plenty. The gain is computed over
// the whole fleet and compared with the time during which the given-up groups'
// VMs serve no requests.
std::optional<Regrouping> GroupPlanner::FindRegrouping(
    const EngineProfile& profile,
    const DomainSnapshot& domain,
    const FleetTotals& fleet,
    RegroupingScope scope) const {
  // The VMs of a group that ends will be free shortly.
  if (!domain.may_regroup || domain.is_populating ||
      !domain.ending_groups.empty() || !domain.regroup_target.empty()) {
    return std::nullopt;
  }
  std::optional<Regrouping> best;
  double best_gain = 0;
  for (std::size_t to = 0; to < profile.models.size(); ++to) {
    for (std::size_t from = 0; from < profile.models.size(); ++from) {
      const bool is_larger =
          profile.models[to].group_size > profile.models[from].group_size;
      const bool is_split =
          profile.models[to].group_size < profile.models[from].group_size &&
          scope == RegroupingScope::kAllModels;
      if (!is_larger && !is_split) {
        continue;
      }
      RegroupingOption option =
          is_larger ? EvaluateRegrouping(profile, domain, fleet, from, to)
                    : EvaluateSplit(profile, domain, fleet, from, to);
      if (option.gain > best_gain) {
        best_gain = option.gain;
        best = Regrouping{domain.domain, profile.models[to].model,
                          profile.models[from].model,
                          std::move(option.given_up), option.new_groups};
      }
    }
  }
  return best;
}

GroupPlanner::RegroupingOption GroupPlanner::EvaluateRegrouping(
    const EngineProfile& profile,
    const DomainSnapshot& domain,
    const FleetTotals& fleet,
    std::size_t from,
    std::size_t to) const {
  const ModelProfile& wanted = profile.models[to];
  const ModelProfile& donor = profile.models[from];
  const std::size_t free_count = domain.free_vms.size();
  RegroupingOption option;
  std::size_t startable = CountStartable(domain.free_vms, wanted.model);
  if (static_cast<double>(startable) <
      settings_.min_free_fraction * static_cast<double>(wanted.group_size)) {
    return option;
  }
  std::size_t vms = free_count;
  for (const ServingGroup* group :
       FindDonors(domain, donor.model, wanted.model)) {
    if (startable >= wanted.group_size) {
      break;
    }
    startable += CountStartable(group->members, wanted.model);
    vms += group->members.size();
    option.given_up.push_back(group->id);
  }
  if (startable < wanted.group_size || option.given_up.empty()) {
    return option;
  }
  const auto group_count_of = [](std::size_t count, const ModelProfile& model) {
    const std::size_t whole = count / model.group_size;
    return static_cast<double>(whole);
  };
  const double wanted_groups = fleet.groups[to] + fleet.awaited[to];
  const double donor_groups = fleet.groups[from] + fleet.awaited[from];
  const double given_up_count = static_cast<double>(option.given_up.size());
  const double value_before =
      ValueOfGroups(wanted, wanted_groups, fleet.vms) +
      ValueOfGroups(donor, donor_groups + group_count_of(free_count, donor),
                    fleet.vms);
  const double value_after =
      ValueOfGroups(wanted, wanted_groups + 1, fleet.vms) +
      ValueOfGroups(donor,
                    donor_groups - given_up_count +
                        group_count_of(vms - wanted.group_size, donor),
                    fleet.vms);
  const double interruption_cost =
      ValueOfGroups(donor, donor_groups, fleet.vms) -
      ValueOfGroups(donor, donor_groups - given_up_count, fleet.vms);
  option.gain = value_after - value_before -
                interruption_cost *
                    static_cast<double>(settings_.regroup_downtime.millis()) /
                    static_cast<double>(settings_.expected_lifetime.millis());
  return option;
}

// Only whole large groups are replaced, and one at a time in the fleet: the
// estimate of the demand follows the change before the next one.
GroupPlanner::RegroupingOption GroupPlanner::EvaluateSplit(
    const EngineProfile& profile,
    const DomainSnapshot& domain,
    const FleetTotals& fleet,
    std::size_t from,
    std::size_t to) const {
  const ModelProfile& wanted = profile.models[to];
  const ModelProfile& donor = profile.models[from];
  RegroupingOption option;
  if (fleet.is_regrouping) {
    return option;
  }
  const std::vector<const ServingGroup*> donors =
      FindDonors(domain, donor.model, wanted.model);
  if (donors.empty()) {
    return option;
  }
  const ServingGroup& group = *donors.front();
  const std::size_t free_groups =
      CountStartable(domain.free_vms, wanted.model) / wanted.group_size;
  const std::size_t new_groups =
      (CountStartable(domain.free_vms, wanted.model) +
       CountStartable(group.members, wanted.model)) /
      wanted.group_size;
  if (new_groups < free_groups + donor.group_size / wanted.group_size) {
    return option;
  }
  const double wanted_groups = fleet.groups[to] + fleet.awaited[to];
  const double donor_groups = fleet.groups[from] + fleet.awaited[from];
  const auto value_of_wanted = [&](std::size_t more) {
    return ValueOfGroups(wanted, wanted_groups + static_cast<double>(more),
                         fleet.vms);
  };
  const double loss = ValueOfGroups(donor, donor_groups, fleet.vms) -
                      ValueOfGroups(donor, donor_groups - 1, fleet.vms);
  const double interruption =
      static_cast<double>(settings_.regroup_downtime.millis()) /
      static_cast<double>(settings_.expected_lifetime.millis());
  const double gain = value_of_wanted(new_groups) -
                      value_of_wanted(free_groups) - loss * (1 + interruption);
  if (gain >= settings_.min_split_gain) {
    option.given_up.push_back(group.id);
    option.new_groups = new_groups;
    option.gain = gain;
  }
  return option;
}

// Other domains must not regroup for the same shortage.
void GroupPlanner::ApplyRegrouping(const EngineProfile& profile,
                                   const Regrouping& regrouping,
                                   FleetTotals& fleet) {
  for (std::size_t i = 0; i < profile.models.size(); ++i) {
    if (profile.models[i].model == regrouping.model) {
      fleet.is_regrouping = true;
      fleet.awaited[i] += static_cast<double>(regrouping.new_groups);
    } else if (profile.models[i].model == regrouping.given_up_model) {
      fleet.groups[i] -= static_cast<double>(regrouping.given_up.size());
    }
  }
}

// An engine restarts the model that it runs without its host's weights, so the
// same weights on the host have no use. Where only larger groups replace
// others, members of large groups keep theirs: if a large group is lost, small
// groups formed at once of the remaining VMs would take its place.
void GroupPlanner::StageStandby(const EngineProfile& profile,
                                const DomainSnapshot& domain,
                                GroupPlan& plan) const {
  PlanStandbyLoads(profile, domain, SizeOrder::kLarger,
                   settings_.min_standby_groups, plan);
}

void GroupPlanner::StageSplitStandby(const EngineProfile& profile,
                                     const DomainSnapshot& domain,
                                     GroupPlan& plan) {
  PlanStandbyLoads(profile, domain, SizeOrder::kSmaller, 1, plan);
}

}  // namespace gcw
