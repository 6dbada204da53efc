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
double WorthOfGroups(const ModelProfile& model, double groups, double vms) {
  const double share = ShareOf(model);
  return WorthOf(
      share, groups * static_cast<double>(model.group_size) / (share * vms));
}

std::size_t CountReady(const std::vector<FreeVm>& vms, const ModelId& model) {
  return static_cast<std::size_t>(std::count_if(
      vms.begin(), vms.end(),
      [&](const FreeVm& vm) { return !vm.slow && CanTakeUp(vm, model); }));
}

// Returns the model's groups that may be given up, sorted by descending number
// of members that can start `wanted` without a load.
std::vector<const StandingGroup*> DonorsOf(const PlannedDomain& domain,
                                           const ModelId& model,
                                           const ModelId& wanted) {
  std::vector<const StandingGroup*> donors;
  for (const StandingGroup& group : domain.standing) {
    if (group.model == model && group.may_be_given_up) {
      donors.push_back(&group);
    }
  }
  std::stable_sort(donors.begin(), donors.end(),
                   [&](const StandingGroup* a, const StandingGroup* b) {
                     return CountReady(a->members, wanted) >
                            CountReady(b->members, wanted);
                   });
  return donors;
}

// Returns the model with the fewest holders for its group size among the models
// with larger groups than `than`, or null if there is none.
const ModelProfile* ScarcestLarger(
    const EngineProfile& profile,
    const ModelProfile& than,
    const std::map<ModelId, std::size_t>& holders) {
  const auto scarcity = [&](const ModelProfile& model) {
    return static_cast<double>(holders.at(model.model)) /
           static_cast<double>(model.group_size);
  };
  const ModelProfile* scarcest = nullptr;
  for (const ModelProfile& model : profile.models) {
    if (model.group_size > than.group_size &&
        (scarcest == nullptr || scarcity(model) < scarcity(*scarcest))) {
      scarcest = &model;
    }
  }
  return scarcest;
}

// Counts the VMs in serving groups whose hosts hold each model's weights.
std::map<ModelId, std::size_t> CountHolders(const EngineProfile& profile,
                                            const PlannedDomain& domain) {
  std::map<ModelId, std::size_t> holders;
  for (const ModelProfile& model : profile.models) {
    std::size_t& count = holders[model.model];
    for (const StandingGroup& group : domain.standing) {
      count += static_cast<std::size_t>(std::count_if(
          group.members.begin(), group.members.end(),
          [&](const FreeVm& vm) { return HasAtHand(vm, model.model); }));
    }
  }
  return holders;
}

// Whether the VM's host may load other weights than those that its engine runs.
bool MayHoldStandby(const FreeVm& vm, const ModelId& runs) {
  const bool holds_another =
      std::any_of(vm.at_hand.begin(), vm.at_hand.end(),
                  [&](const ModelId& model) { return model != runs; });
  return !holds_another && vm.loading.empty() && !vm.slow;
}

}  // namespace

void GroupPlanner::FormAwaited(const EngineProfile& profile,
                               PlannedDomain& domain,
                               Fleet& fleet,
                               GroupPlan& plan) {
  for (std::size_t i = 0; i < profile.models.size(); ++i) {
    const ModelProfile& model = profile.models[i];
    if (domain.regroups_for == model.model &&
        domain.free.size() >= model.group_size) {
      FormGroup(profile, i, domain, fleet, plan);
      return;
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
    const PlannedDomain& domain,
    const Fleet& fleet) const {
  // The VMs of a group that ends will be free shortly.
  if (!domain.may_regroup || domain.filling || !domain.ending.empty() ||
      !domain.regroups_for.empty()) {
    return std::nullopt;
  }
  std::optional<Regrouping> best;
  double best_gain = 0;
  for (std::size_t to = 0; to < profile.models.size(); ++to) {
    for (std::size_t from = 0; from < profile.models.size(); ++from) {
      // Smaller groups fit into the remaining free VMs anyway.
      if (profile.models[to].group_size <= profile.models[from].group_size) {
        continue;
      }
      const RegroupingChoice choice =
          WeighRegrouping(profile, domain, fleet, from, to);
      if (choice.gain > best_gain) {
        best_gain = choice.gain;
        best = Regrouping{domain.domain, profile.models[to].model,
                          profile.models[from].model, choice.given_up};
      }
    }
  }
  return best;
}

GroupPlanner::RegroupingChoice GroupPlanner::WeighRegrouping(
    const EngineProfile& profile,
    const PlannedDomain& domain,
    const Fleet& fleet,
    std::size_t from,
    std::size_t to) const {
  const ModelProfile& wanted = profile.models[to];
  const ModelProfile& donor = profile.models[from];
  const std::size_t free = domain.free.size();
  RegroupingChoice choice;
  std::size_t ready = CountReady(domain.free, wanted.model);
  if (static_cast<double>(ready) <
      settings_.min_free_part * static_cast<double>(wanted.group_size)) {
    return choice;
  }
  std::size_t vms = free;
  for (const StandingGroup* group :
       DonorsOf(domain, donor.model, wanted.model)) {
    if (ready >= wanted.group_size) {
      break;
    }
    ready += CountReady(group->members, wanted.model);
    vms += group->members.size();
    choice.given_up.push_back(group->id);
  }
  if (ready < wanted.group_size || choice.given_up.empty()) {
    return choice;
  }
  const auto groups_of = [](std::size_t count, const ModelProfile& model) {
    const std::size_t whole = count / model.group_size;
    return static_cast<double>(whole);
  };
  const double have_to = fleet.groups[to] + fleet.awaited[to];
  const double have_from = fleet.groups[from] + fleet.awaited[from];
  const double given_up = static_cast<double>(choice.given_up.size());
  const double stands =
      WorthOfGroups(wanted, have_to, fleet.vms) +
      WorthOfGroups(donor, have_from + groups_of(free, donor), fleet.vms);
  const double regrouped =
      WorthOfGroups(wanted, have_to + 1, fleet.vms) +
      WorthOfGroups(
          donor,
          have_from - given_up + groups_of(vms - wanted.group_size, donor),
          fleet.vms);
  const double interrupted =
      WorthOfGroups(donor, have_from, fleet.vms) -
      WorthOfGroups(donor, have_from - given_up, fleet.vms);
  choice.gain = regrouped - stands -
                interrupted *
                    static_cast<double>(settings_.regroup_time.millis()) /
                    static_cast<double>(settings_.expected_life.millis());
  return choice;
}

// Other domains must not regroup for the same shortage.
void GroupPlanner::CountAsDone(const EngineProfile& profile,
                               const Regrouping& change,
                               Fleet& fleet) {
  for (std::size_t i = 0; i < profile.models.size(); ++i) {
    if (profile.models[i].model == change.model) {
      fleet.awaited[i] += 1;
    } else if (profile.models[i].model == change.given_up_model) {
      fleet.groups[i] -= static_cast<double>(change.given_up.size());
    }
  }
}

// An engine restarts the model that it runs without its host's weights, so the
// same weights on the host have no use. Members of large groups keep theirs: if
// a large group is lost, small groups formed at once of the remaining VMs would
// take its place.
void GroupPlanner::StageStandby(const EngineProfile& profile,
                                const PlannedDomain& domain,
                                GroupPlan& plan) const {
  std::map<ModelId, std::size_t> holders = CountHolders(profile, domain);
  for (const StandingGroup& group : domain.standing) {
    const auto own = std::find_if(
        profile.models.begin(), profile.models.end(),
        [&](const ModelProfile& model) { return model.model == group.model; });
    if (own == profile.models.end() ||
        static_cast<std::int64_t>(GroupsOf(domain, group.model)) <
            settings_.min_standby_groups) {
      continue;
    }
    for (const FreeVm& vm : group.members) {
      const ModelProfile* scarcest = ScarcestLarger(profile, *own, holders);
      if (scarcest == nullptr || !MayHoldStandby(vm, group.model)) {
        continue;
      }
      ++holders[scarcest->model];
      plan.stagings.push_back(
          {domain.domain, vm.vm, scarcest->model, StagingPurpose::kStandby});
    }
  }
}

}  // namespace gcw
