#include "coordination/gateway/group_planner.h"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

#include "coordination/gateway/planner_measures.h"

namespace gcw {
namespace {

// Whether the VM can join a group of the model without a further load, once its
// current load has ended.
bool WillStartWithoutLoad(const VmCandidate& vm, const ModelId& model) {
  return vm.last_model == model ||
         (vm.loading_model.empty() ? HasStaged(vm, model)
                                   : vm.loading_model == model);
}

// Ranks how fast the VM can start the model; lower is faster.
int StartupRank(const VmCandidate& vm, const ModelId& model) {
  enum Rank { kLastModel, kStaged, kLoading, kEmpty, kOtherWeights, kSlow };
  if (vm.is_slow) {
    return kSlow;
  }
  if (vm.last_model == model) {
    return kLastModel;
  }
  if (HasStaged(vm, model)) {
    return kStaged;
  }
  if (vm.loading_model == model) {
    return kLoading;
  }
  // A load evicts weights that another model needs.
  return vm.staged.empty() && vm.loading_model.empty() ? kEmpty : kOtherWeights;
}

// Relative expected downtime of a model's groups for want of one more spare:
// proportional to how likely they lose a member and to how long a load takes.
// The divisor is squared because a second spare helps only after a second loss.
// A group that ends still counts: its successor is awaited, and the load should
// begin before the group has finished its requests.
double ExpectedDowntime(const DomainSnapshot& domain,
                        const ModelProfile& model,
                        std::size_t spares) {
  constexpr double kWithoutGroups = 0.1;
  constexpr double kUncoveredLoss = 0.25;
  const auto found = domain.ending_groups.find(model.model);
  const DomainSnapshot::EndingGroups ending =
      found == domain.ending_groups.end() ? DomainSnapshot::EndingGroups()
                                          : found->second;
  const auto members = static_cast<double>(
      (GroupCountOf(domain, model.model) + ending.count) * model.group_size);
  const double covered =
      spares < ending.unusable_members
          ? kUncoveredLoss
          : static_cast<double>(spares - ending.unusable_members) + 1;
  return (members + kWithoutGroups) *
         static_cast<double>(model.load_time.millis()) / (covered * covered);
}

std::size_t MemberCount(const EngineProfile& profile,
                        const std::vector<std::size_t>& mix) {
  std::size_t members = 0;
  for (std::size_t i = 0; i < mix.size(); ++i) {
    members += mix[i] * profile.models[i].group_size;
  }
  return members;
}

}  // namespace

GroupPlanner::Counts GroupPlanner::FindBestMix(
    const EngineProfile& profile,
    std::size_t vms,
    const std::vector<double>& coverage,
    const Counts& startable) const {
  Counts counts(profile.models.size(), 0);
  Counts best = counts;
  double best_value = -1;
  // Enumerates all mixes that fit; a domain has few models and groups.
  while (true) {
    double value = 0;
    for (std::size_t i = 0; i < counts.size(); ++i) {
      const ModelProfile& model = profile.models[i];
      const double share = EffectiveShare(model);
      const double demanded_vms = share * static_cast<double>(vms);
      const auto coverage_with = [&](std::size_t groups) {
        return coverage[i] +
               static_cast<double>(groups * model.group_size) / demanded_vms;
      };
      const std::size_t immediate_groups =
          std::min(counts[i], startable[i] / model.group_size);
      const double after_load = std::max(
          0.1,
          1 - static_cast<double>(model.load_time.millis()) /
                  static_cast<double>(settings_.expected_lifetime.millis()));
      const double immediate_value =
          CoverageValue(model, coverage_with(immediate_groups));
      value += immediate_value - CoverageValue(model, coverage[i]) +
               after_load * (CoverageValue(model, coverage_with(counts[i])) -
                             immediate_value);
    }
    if (MemberCount(profile, counts) <= vms && value > best_value + 1e-9) {
      best_value = value;
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

GroupPlanner::FleetTotals GroupPlanner::ComputeTotals(
    const EngineProfile& profile,
    const std::vector<const DomainSnapshot*>& domains) const {
  const std::size_t model_count = profile.models.size();
  FleetTotals fleet;
  fleet.groups.assign(model_count, 0);
  fleet.awaited.assign(model_count, 0);
  fleet.target_groups.assign(model_count, 0);
  // A domain is expected to hold at least one group of each model.
  fleet.largest_domain = settings_.reserve_per_domain;
  for (const ModelProfile& model : profile.models) {
    fleet.largest_domain += model.group_size;
  }
  for (const DomainSnapshot* domain : domains) {
    fleet.vms += static_cast<double>(domain->vm_count);
    fleet.largest_domain = std::max(fleet.largest_domain, domain->vm_count);
    for (std::size_t i = 0; i < model_count; ++i) {
      const ModelId& model = profile.models[i].model;
      fleet.groups[i] += static_cast<double>(GroupCountOf(*domain, model));
      const auto ending = domain->ending_groups.find(model);
      if (domain->regroup_target == model) {
        fleet.is_regrouping = true;
        fleet.awaited[i] += static_cast<double>(domain->regroup_count);
      } else if (ending != domain->ending_groups.end() &&
                 domain->regroup_target.empty()) {
        fleet.awaited[i] += static_cast<double>(ending->second.count);
      }
    }
  }
  fleet.complete_mixes[fleet.largest_domain] =
      CompleteDomainMix(profile, fleet.largest_domain);
  for (const DomainSnapshot* domain : domains) {
    const std::size_t vms =
        domain->is_populating ? fleet.largest_domain : domain->vm_count;
    const auto [mix, is_new] = fleet.complete_mixes.try_emplace(vms);
    if (is_new) {
      mix->second = CompleteDomainMix(profile, vms);
    }
    for (std::size_t i = 0; i < model_count; ++i) {
      fleet.target_groups[i] += static_cast<double>(mix->second[i]);
    }
  }
  return fleet;
}

GroupPlanner::Counts GroupPlanner::CompleteDomainMix(
    const EngineProfile& profile,
    std::size_t vms) const {
  const std::size_t reserve = std::min(settings_.reserve_per_domain, vms);
  // In the long run all loads have ended, however long they take.
  const Counts all_startable(profile.models.size(), vms);
  const std::vector<double> no_coverage(profile.models.size(), 0);
  return FindBestMix(profile, vms - reserve, no_coverage, all_startable);
}

GroupPlanner::Counts GroupPlanner::StartupMix(const EngineProfile& profile,
                                              const DomainSnapshot& domain,
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
  std::size_t remaining = domain.free_vms.size();
  // The largest groups come first: small groups fit into what is left, but a
  // large one would not fit once small ones have taken the first VMs that
  // appeared.
  for (const std::size_t i : by_size) {
    const ModelProfile& model = profile.models[i];
    std::size_t group_count = GroupCountOf(domain, model.model);
    for (; group_count < target[i] && remaining >= model.group_size;
         ++group_count) {
      ++mix[i];
      remaining -= model.group_size;
    }
    if (group_count < target[i]) {
      break;
    }
  }
  return mix;
}

GroupPlanner::Counts GroupPlanner::SteadyMix(const EngineProfile& profile,
                                             const DomainSnapshot& domain,
                                             const FleetTotals& fleet) const {
  std::vector<double> coverage;
  Counts startable;
  for (std::size_t i = 0; i < profile.models.size(); ++i) {
    const ModelProfile& model = profile.models[i];
    coverage.push_back(fleet.groups[i] * static_cast<double>(model.group_size) /
                       (EffectiveShare(model) * fleet.vms));
    startable.push_back(static_cast<std::size_t>(
        std::count_if(domain.free_vms.begin(), domain.free_vms.end(),
                      [&](const VmCandidate& vm) {
                        return CanStartWithoutLoad(vm, model.model);
                      })));
  }
  // If every group has to wait for a load, the waiting times are ignored.
  // Otherwise a model with large weights would never get its first group.
  if (std::all_of(startable.begin(), startable.end(),
                  [](std::size_t count) { return count == 0; })) {
    startable.assign(startable.size(), domain.free_vms.size());
  }
  const std::size_t reserve =
      domain.group_counts.empty()
          ? std::min(settings_.reserve_per_domain, domain.free_vms.size())
          : 0;
  return FindBestMix(profile, domain.free_vms.size() - reserve, coverage,
                     startable);
}

void GroupPlanner::FormGroups(const EngineProfile& profile,
                              const Counts& mix,
                              DomainSnapshot& domain,
                              FleetTotals& fleet,
                              GroupPlan& plan) const {
  for (std::size_t i = 0; i < mix.size(); ++i) {
    const ModelProfile& model = profile.models[i];
    for (std::size_t n = 0; n < mix[i]; ++n) {
      const std::size_t remaining = domain.free_vms.size() - model.group_size;
      // A group beyond the fleet's target must not use the reserve, nor the VMs
      // with which a group that ends here is to be formed again.
      if (fleet.groups[i] >= fleet.target_groups[i] &&
          (remaining < settings_.reserve_per_domain ||
           !domain.ending_groups.empty())) {
        continue;
      }
      FormGroup(profile, i, domain, fleet, plan);
    }
  }
}

void GroupPlanner::FormGroup(const EngineProfile& profile,
                             std::size_t model_index,
                             DomainSnapshot& domain,
                             FleetTotals& fleet,
                             GroupPlan& plan) {
  const ModelProfile& model = profile.models[model_index];
  std::stable_sort(domain.free_vms.begin(), domain.free_vms.end(),
                   [&](const VmCandidate& a, const VmCandidate& b) {
                     return StartupRank(a, model.model) <
                            StartupRank(b, model.model);
                   });
  PlannedGroup group{domain.domain, model.model, {}};
  const auto end =
      domain.free_vms.begin() + static_cast<std::ptrdiff_t>(model.group_size);
  // The first member receives the group's requests, and few nodes may send any
  // to a cold one.
  const auto warmest = std::min_element(
      domain.free_vms.begin(), end,
      [](const VmCandidate& a, const VmCandidate& b) {
        return std::tie(a.is_cold, a.started) < std::tie(b.is_cold, b.started);
      });
  std::rotate(domain.free_vms.begin(), warmest, warmest + 1);
  for (auto it = domain.free_vms.begin(); it != end; ++it) {
    group.members.push_back(it->vm);
  }
  domain.free_vms.erase(domain.free_vms.begin(), end);
  ++domain.group_counts[model.model];
  ++fleet.groups[model_index];
  plan.groups.push_back(std::move(group));
}

void GroupPlanner::StageSpares(const EngineProfile& profile,
                               const DomainSnapshot& domain,
                               GroupPlan& plan) const {
  const std::size_t model_count = profile.models.size();
  Counts spares(model_count, 0);
  std::vector<const VmCandidate*> without_weights;
  for (const VmCandidate& vm : domain.free_vms) {
    bool has_no_weights = true;
    for (std::size_t i = 0; i < model_count; ++i) {
      if (WillStartWithoutLoad(vm, profile.models[i].model)) {
        ++spares[i];
        has_no_weights = false;
      }
    }
    if (has_no_weights) {
      without_weights.push_back(&vm);
    }
  }
  for (const VmCandidate* vm : without_weights) {
    std::size_t neediest = 0;
    for (std::size_t i = 1; i < model_count; ++i) {
      if (ExpectedDowntime(domain, profile.models[i], spares[i]) >
          ExpectedDowntime(domain, profile.models[neediest],
                           spares[neediest])) {
        neediest = i;
      }
    }
    ++spares[neediest];
    plan.stagings.push_back(
        {domain.domain, vm->vm, profile.models[neediest].model});
  }
  if (without_weights.empty()) {
    RestageSpare(profile, domain, spares, plan);
  }
}

void GroupPlanner::RestageSpare(const EngineProfile& profile,
                                const DomainSnapshot& domain,
                                const Counts& spares,
                                GroupPlan& plan) const {
  const VmCandidate* best = nullptr;
  ModelId wanted_model;
  double best_gain = settings_.min_restage_gain;
  for (const VmCandidate& vm : domain.free_vms) {
    if (!vm.loading_model.empty() || vm.is_slow) {
      continue;
    }
    for (std::size_t from = 0; from < spares.size(); ++from) {
      if (spares[from] == 0 || !HasStaged(vm, profile.models[from].model)) {
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
          wanted_model = profile.models[to].model;
          best_gain = gain;
        }
      }
    }
  }
  if (best != nullptr) {
    plan.stagings.push_back({domain.domain, best->vm, wanted_model});
  }
}

GroupPlan GroupPlanner::Plan(const EngineProfile& profile,
                             std::vector<DomainSnapshot> domains,
                             const std::vector<const DomainSnapshot*>& others,
                             RegroupingScope scope) const {
  GroupPlan plan;
  std::vector<const DomainSnapshot*> all = others;
  for (const DomainSnapshot& domain : domains) {
    all.push_back(&domain);
  }
  FleetTotals fleet = ComputeTotals(profile, all);
  if (fleet.vms <= 0 || profile.models.empty()) {
    return plan;
  }
  // Domains with the most free VMs come first, because they have the widest
  // choice.
  std::stable_sort(domains.begin(), domains.end(),
                   [](const DomainSnapshot& a, const DomainSnapshot& b) {
                     return a.free_vms.size() > b.free_vms.size();
                   });
  for (DomainSnapshot& domain : domains) {
    if (domain.awaits_free_vms) {
      continue;
    }
    if (std::optional<Regrouping> found =
            FindRegrouping(profile, domain, fleet, scope)) {
      ApplyRegrouping(profile, *found, fleet);
      plan.regroupings.push_back(*std::move(found));
      continue;
    }
    FormRegroupedGroups(profile, domain, fleet, plan);
    const Counts mix =
        domain.is_populating
            ? StartupMix(profile, domain,
                         fleet.complete_mixes.at(fleet.largest_domain))
            : SteadyMix(profile, domain, fleet);
    FormGroups(profile, mix, domain, fleet, plan);
    if (!domain.is_populating) {
      StageSpares(profile, domain, plan);
      StageStandby(profile, domain, plan);
      if (scope == RegroupingScope::kAllModels) {
        StageSplitStandby(profile, domain, plan);
      }
    }
  }
  return plan;
}

}  // namespace gcw
