#include "coordination/gateway/group_planner.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "coordination/gateway/planner_measures.h"

namespace gcw {
namespace {

// Whether the VM can join a group of the model without a further load, once its
// current load has ended.
bool WillTakeUp(const FreeVm& vm, const ModelId& model) {
  return vm.last_model == model ||
         (vm.loading.empty() ? HasAtHand(vm, model) : vm.loading == model);
}

// Ranks how fast the VM can start the model; lower is faster.
int StartupCost(const FreeVm& vm, const ModelId& model) {
  enum Cost { kLast, kAtHand, kLoading, kEmpty, kOtherWeights, kSlow };
  if (vm.slow) {
    return kSlow;
  }
  if (vm.last_model == model) {
    return kLast;
  }
  if (HasAtHand(vm, model)) {
    return kAtHand;
  }
  if (vm.loading == model) {
    return kLoading;
  }
  // A load evicts weights that another model needs.
  return vm.at_hand.empty() && vm.loading.empty() ? kEmpty : kOtherWeights;
}

// Relative expected downtime of a model's groups for want of one more spare:
// proportional to how likely they lose a member and to how long a load takes.
// The divisor is squared because a second spare helps only after a second loss.
// A group that ends still counts: its successor is awaited, and the load should
// begin before the group has finished its requests.
double ExpectedDowntime(const PlannedDomain& domain,
                        const ModelProfile& model,
                        std::size_t spares) {
  constexpr double kWithoutGroups = 0.1;
  constexpr double kAwaited = 0.25;
  const auto found = domain.ending.find(model.model);
  const PlannedDomain::Ending ending =
      found == domain.ending.end() ? PlannedDomain::Ending() : found->second;
  const auto members = static_cast<double>(
      (GroupsOf(domain, model.model) + ending.groups) * model.group_size);
  const double covered = spares < ending.lost
                             ? kAwaited
                             : static_cast<double>(spares - ending.lost) + 1;
  return (members + kWithoutGroups) *
         static_cast<double>(model.load_time.millis()) / (covered * covered);
}

std::size_t MembersOf(const EngineProfile& profile,
                      const std::vector<std::size_t>& mix) {
  std::size_t members = 0;
  for (std::size_t i = 0; i < mix.size(); ++i) {
    members += mix[i] * profile.models[i].group_size;
  }
  return members;
}

}  // namespace

GroupPlanner::Counts GroupPlanner::BestMix(const EngineProfile& profile,
                                           std::size_t vms,
                                           const std::vector<double>& fill,
                                           const Counts& at_hand) const {
  Counts counts(profile.models.size(), 0);
  Counts best = counts;
  double best_worth = -1;
  // Enumerates all mixes that fit; a domain has few models and groups.
  while (true) {
    double worth = 0;
    for (std::size_t i = 0; i < counts.size(); ++i) {
      const ModelProfile& model = profile.models[i];
      const double share = ShareOf(model);
      const double called_for = share * static_cast<double>(vms);
      const auto fill_with = [&](std::size_t groups) {
        return fill[i] +
               static_cast<double>(groups * model.group_size) / called_for;
      };
      const std::size_t at_once =
          std::min(counts[i], at_hand[i] / model.group_size);
      const double after_load = std::max(
          0.1, 1 - static_cast<double>(model.load_time.millis()) /
                       static_cast<double>(settings_.expected_life.millis()));
      const double worth_at_once = WorthOf(share, fill_with(at_once));
      worth +=
          worth_at_once - WorthOf(share, fill[i]) +
          after_load * (WorthOf(share, fill_with(counts[i])) - worth_at_once);
    }
    if (MembersOf(profile, counts) <= vms && worth > best_worth + 1e-9) {
      best_worth = worth;
      best = counts;
    }
    std::size_t i = 0;
    while (i < counts.size()) {
      ++counts[i];
      if (counts[i] * profile.models[i].group_size <= vms) {
        break;
      }
      counts[i] = 0;
      ++i;
    }
    if (i == counts.size()) {
      return best;
    }
  }
}

GroupPlanner::Fleet GroupPlanner::Survey(
    const EngineProfile& profile,
    const std::vector<const PlannedDomain*>& domains) const {
  const std::size_t model_count = profile.models.size();
  Fleet fleet;
  fleet.groups.assign(model_count, 0);
  fleet.awaited.assign(model_count, 0);
  fleet.wanted.assign(model_count, 0);
  // A domain is expected to hold at least one group of each model.
  fleet.largest_domain = settings_.reserve_per_domain;
  for (const ModelProfile& model : profile.models) {
    fleet.largest_domain += model.group_size;
  }
  for (const PlannedDomain* domain : domains) {
    fleet.vms += static_cast<double>(domain->vms);
    fleet.largest_domain = std::max(fleet.largest_domain, domain->vms);
    for (std::size_t i = 0; i < model_count; ++i) {
      const ModelId& model = profile.models[i].model;
      fleet.groups[i] += static_cast<double>(GroupsOf(*domain, model));
      const auto ending = domain->ending.find(model);
      if (domain->regroups_for == model) {
        fleet.awaited[i] += 1;
      } else if (ending != domain->ending.end() &&
                 domain->regroups_for.empty()) {
        fleet.awaited[i] += static_cast<double>(ending->second.groups);
      }
    }
  }
  fleet.whole_mixes[fleet.largest_domain] =
      MixOfWhole(profile, fleet.largest_domain);
  for (const PlannedDomain* domain : domains) {
    const std::size_t vms =
        domain->filling ? fleet.largest_domain : domain->vms;
    const auto [mix, is_new] = fleet.whole_mixes.try_emplace(vms);
    if (is_new) {
      mix->second = MixOfWhole(profile, vms);
    }
    for (std::size_t i = 0; i < model_count; ++i) {
      fleet.wanted[i] += static_cast<double>(mix->second[i]);
    }
  }
  return fleet;
}

GroupPlanner::Counts GroupPlanner::MixOfWhole(const EngineProfile& profile,
                                              std::size_t vms) const {
  const std::size_t reserve = std::min(settings_.reserve_per_domain, vms);
  // In the long run all loads have ended, however long they take.
  const Counts all_at_hand(profile.models.size(), vms);
  const std::vector<double> no_fill(profile.models.size(), 0);
  return BestMix(profile, vms - reserve, no_fill, all_at_hand);
}

GroupPlanner::Counts GroupPlanner::MixOfFilling(const EngineProfile& profile,
                                                const PlannedDomain& domain,
                                                const Counts& target) const {
  Counts by_size(target.size());
  for (std::size_t i = 0; i < by_size.size(); ++i) {
    by_size[i] = i;
  }
  std::stable_sort(
      by_size.begin(), by_size.end(), [&](std::size_t a, std::size_t b) {
        return profile.models[a].group_size > profile.models[b].group_size;
      });
  Counts mix(target.size(), 0);
  std::size_t left = domain.free.size();
  // The largest groups come first: small groups fit into what is left, but a
  // large one would not fit once small ones have taken the first VMs that
  // appeared.
  for (const std::size_t i : by_size) {
    const ModelProfile& model = profile.models[i];
    std::size_t have = GroupsOf(domain, model.model);
    for (; have < target[i] && left >= model.group_size; ++have) {
      ++mix[i];
      left -= model.group_size;
    }
    if (have < target[i]) {
      break;
    }
  }
  return mix;
}

GroupPlanner::Counts GroupPlanner::MixOfSettled(const EngineProfile& profile,
                                                const PlannedDomain& domain,
                                                const Fleet& fleet) const {
  std::vector<double> fill;
  Counts at_hand;
  for (std::size_t i = 0; i < profile.models.size(); ++i) {
    const ModelProfile& model = profile.models[i];
    fill.push_back(fleet.groups[i] * static_cast<double>(model.group_size) /
                   (ShareOf(model) * fleet.vms));
    at_hand.push_back(static_cast<std::size_t>(std::count_if(
        domain.free.begin(), domain.free.end(),
        [&](const FreeVm& vm) { return CanTakeUp(vm, model.model); })));
  }
  // If every group has to wait for a load, the waiting times are ignored.
  // Otherwise a model with large weights would never get its first group.
  if (std::all_of(at_hand.begin(), at_hand.end(),
                  [](std::size_t count) { return count == 0; })) {
    at_hand.assign(at_hand.size(), domain.free.size());
  }
  const std::size_t keep =
      domain.groups.empty()
          ? std::min(settings_.reserve_per_domain, domain.free.size())
          : 0;
  return BestMix(profile, domain.free.size() - keep, fill, at_hand);
}

void GroupPlanner::FormGroups(const EngineProfile& profile,
                              const Counts& mix,
                              PlannedDomain& domain,
                              Fleet& fleet,
                              GroupPlan& plan) const {
  for (std::size_t i = 0; i < mix.size(); ++i) {
    const ModelProfile& model = profile.models[i];
    for (std::size_t n = 0; n < mix[i]; ++n) {
      const std::size_t left = domain.free.size() - model.group_size;
      // A group beyond the fleet's target must not use the reserve, nor the VMs
      // with which a group that ends here is to be formed again.
      if (fleet.groups[i] >= fleet.wanted[i] &&
          (left < settings_.reserve_per_domain || !domain.ending.empty())) {
        continue;
      }
      FormGroup(profile, i, domain, fleet, plan);
    }
  }
}

void GroupPlanner::FormGroup(const EngineProfile& profile,
                             std::size_t model_index,
                             PlannedDomain& domain,
                             Fleet& fleet,
                             GroupPlan& plan) {
  const ModelProfile& model = profile.models[model_index];
  std::stable_sort(domain.free.begin(), domain.free.end(),
                   [&](const FreeVm& a, const FreeVm& b) {
                     return StartupCost(a, model.model) <
                            StartupCost(b, model.model);
                   });
  PlannedGroup group{domain.domain, model.model, {}};
  const auto end =
      domain.free.begin() + static_cast<std::ptrdiff_t>(model.group_size);
  for (auto it = domain.free.begin(); it != end; ++it) {
    group.members.push_back(it->vm);
  }
  domain.free.erase(domain.free.begin(), end);
  ++domain.groups[model.model];
  ++fleet.groups[model_index];
  plan.groups.push_back(std::move(group));
}

void GroupPlanner::StageSpares(const EngineProfile& profile,
                               const PlannedDomain& domain,
                               GroupPlan& plan) const {
  const std::size_t model_count = profile.models.size();
  Counts spares(model_count, 0);
  std::vector<const FreeVm*> empty;
  for (const FreeVm& vm : domain.free) {
    bool is_empty = true;
    for (std::size_t i = 0; i < model_count; ++i) {
      if (WillTakeUp(vm, profile.models[i].model)) {
        ++spares[i];
        is_empty = false;
      }
    }
    if (is_empty) {
      empty.push_back(&vm);
    }
  }
  for (const FreeVm* vm : empty) {
    std::size_t most = 0;
    for (std::size_t i = 1; i < model_count; ++i) {
      if (ExpectedDowntime(domain, profile.models[i], spares[i]) >
          ExpectedDowntime(domain, profile.models[most], spares[most])) {
        most = i;
      }
    }
    ++spares[most];
    plan.stagings.push_back(
        {domain.domain, vm->vm, profile.models[most].model});
  }
  if (empty.empty()) {
    RestageSpare(profile, domain, spares, plan);
  }
}

void GroupPlanner::RestageSpare(const EngineProfile& profile,
                                const PlannedDomain& domain,
                                const Counts& spares,
                                GroupPlan& plan) const {
  const FreeVm* best = nullptr;
  ModelId wanted;
  double best_gain = settings_.least_restage_gain;
  for (const FreeVm& vm : domain.free) {
    if (!vm.loading.empty() || vm.slow) {
      continue;
    }
    for (std::size_t from = 0; from < spares.size(); ++from) {
      if (spares[from] == 0 || !HasAtHand(vm, profile.models[from].model)) {
        continue;
      }
      const double loss =
          ExpectedDowntime(domain, profile.models[from], spares[from] - 1);
      for (std::size_t to = 0; to < spares.size(); ++to) {
        const double gain =
            ExpectedDowntime(domain, profile.models[to], spares[to]) /
            std::max(1.0, loss);
        if (to != from && gain > best_gain) {
          best = &vm;
          wanted = profile.models[to].model;
          best_gain = gain;
        }
      }
    }
  }
  if (best != nullptr) {
    plan.stagings.push_back({domain.domain, best->vm, wanted});
  }
}

GroupPlan GroupPlanner::Plan(
    const EngineProfile& profile,
    std::vector<PlannedDomain> domains,
    const std::vector<const PlannedDomain*>& others) const {
  GroupPlan plan;
  std::vector<const PlannedDomain*> all = others;
  for (const PlannedDomain& domain : domains) {
    all.push_back(&domain);
  }
  Fleet fleet = Survey(profile, all);
  if (fleet.vms <= 0 || profile.models.empty()) {
    return plan;
  }
  // Domains with the most free VMs come first, because they have the widest
  // choice.
  std::stable_sort(domains.begin(), domains.end(),
                   [](const PlannedDomain& a, const PlannedDomain& b) {
                     return a.free.size() > b.free.size();
                   });
  for (PlannedDomain& domain : domains) {
    if (domain.unsettled) {
      continue;
    }
    if (std::optional<Regrouping> found =
            FindRegrouping(profile, domain, fleet)) {
      CountAsDone(profile, *found, fleet);
      plan.regroupings.push_back(*std::move(found));
      continue;
    }
    FormAwaited(profile, domain, fleet, plan);
    const Counts mix =
        domain.filling
            ? MixOfFilling(profile, domain,
                           fleet.whole_mixes.at(fleet.largest_domain))
            : MixOfSettled(profile, domain, fleet);
    FormGroups(profile, mix, domain, fleet, plan);
    if (!domain.filling) {
      StageSpares(profile, domain, plan);
      StageStandby(profile, domain, plan);
    }
  }
  return plan;
}

}  // namespace gcw
