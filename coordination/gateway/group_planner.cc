#include "coordination/gateway/group_planner.h"

#include <algorithm>
#include <cmath>
#include <optional>
#include <set>
#include <utility>

namespace gcw {
namespace {

bool HasAtHand(const FreeVm& vm, const ModelId& model) {
  return std::find(vm.at_hand.begin(), vm.at_hand.end(), model) !=
         vm.at_hand.end();
}

// How fast the VM can take up the model; lower is faster.
int EffortOf(const FreeVm& vm, const ModelId& model) {
  constexpr int kSlow = 10;
  if (vm.slow) {
    return kSlow;
  }
  if (vm.last_model == model) {
    return 0;
  }
  if (HasAtHand(vm, model)) {
    return 1;
  }
  // Weights that another model needs are lost by a load.
  return vm.at_hand.empty() ? 2 : 3;
}

// Worth of having `fill` times the VMs that a model's part of the work calls
// for: each further group of one model is worth less than the one before.
double WorthOf(double share, double fill) {
  return share * (1 - std::exp(-fill));
}

}  // namespace

std::vector<std::size_t> GroupPlanner::BestMix(
    const EngineProfile& profile,
    std::size_t vms,
    const std::vector<double>& fill) const {
  std::vector<std::size_t> counts(profile.models.size(), 0);
  std::vector<std::size_t> best = counts;
  double best_worth = -1;
  // Walks through all mixes that fit; models and groups of a domain are few.
  while (true) {
    std::size_t used = 0;
    double worth = 0;
    for (std::size_t i = 0; i < counts.size(); ++i) {
      const ModelProfile& model = profile.models[i];
      used += counts[i] * model.group_size;
      const double share = std::max(0.01, model.work_share);
      const double vms_of_model =
          static_cast<double>(counts[i] * model.group_size);
      const double called_for = share * static_cast<double>(vms);
      worth += WorthOf(share, fill[i] + vms_of_model / called_for) -
               WorthOf(share, fill[i]);
    }
    if (used <= vms && worth > best_worth + 1e-9) {
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

std::vector<std::size_t> GroupPlanner::MixOfFilling(
    const EngineProfile& profile,
    const PlannedDomain& domain,
    std::size_t expected_vms) const {
  const std::size_t model_count = profile.models.size();
  const std::size_t reserve =
      std::min(settings_.reserve_per_domain, expected_vms);
  const std::vector<double> none(model_count, 0);
  const auto wanted = BestMix(profile, expected_vms - reserve, none);
  std::vector<std::size_t> by_size(model_count);
  for (std::size_t i = 0; i < model_count; ++i) {
    by_size[i] = i;
  }
  std::stable_sort(
      by_size.begin(), by_size.end(), [&](std::size_t a, std::size_t b) {
        return profile.models[a].group_size > profile.models[b].group_size;
      });
  std::vector<std::size_t> mix(model_count, 0);
  std::size_t left = domain.free.size();
  // Largest first: small groups fit into what is left, but a large one does not
  // fit any more once small ones have taken the first VMs that appeared.
  for (const std::size_t i : by_size) {
    const ModelProfile& model = profile.models[i];
    const auto found = domain.groups.find(model.model);
    std::size_t have = found == domain.groups.end() ? 0 : found->second;
    for (; have < wanted[i] && left >= model.group_size; ++have) {
      ++mix[i];
      left -= model.group_size;
    }
    if (have < wanted[i]) {
      break;
    }
  }
  return mix;
}

GroupPlan GroupPlanner::Plan(const EngineProfile& profile,
                             std::vector<PlannedDomain> domains) const {
  GroupPlan plan;
  const std::size_t model_count = profile.models.size();
  double all_vms = 0;
  for (const PlannedDomain& domain : domains) {
    all_vms += static_cast<double>(domain.vms);
  }
  if (all_vms <= 0 || model_count == 0) {
    return plan;
  }
  // One group of each model is the least to expect of a domain.
  std::size_t largest = settings_.reserve_per_domain;
  for (const ModelProfile& model : profile.models) {
    largest += model.group_size;
  }
  for (const PlannedDomain& domain : domains) {
    largest = std::max(largest, domain.vms);
  }
  // How much of its part of the VMs each model has, and how many groups of it
  // the fleet would have if every domain were whole.
  std::vector<double> fill(model_count, 0);
  std::vector<double> wanted(model_count, 0);
  std::vector<double> have(model_count, 0);
  const std::vector<double> none(model_count, 0);
  for (const PlannedDomain& domain : domains) {
    const std::size_t vms = domain.filling ? largest : domain.vms;
    const std::size_t reserve = std::min(settings_.reserve_per_domain, vms);
    const auto mix = BestMix(profile, vms - reserve, none);
    for (std::size_t i = 0; i < model_count; ++i) {
      wanted[i] += static_cast<double>(mix[i]);
      const auto found = domain.groups.find(profile.models[i].model);
      if (found != domain.groups.end()) {
        have[i] += static_cast<double>(found->second);
      }
    }
  }
  const auto fill_of = [&](std::size_t i) {
    const ModelProfile& model = profile.models[i];
    return have[i] * static_cast<double>(model.group_size) /
           (std::max(0.01, model.work_share) * all_vms);
  };
  // Whole domains first: they have the widest choice.
  std::stable_sort(domains.begin(), domains.end(),
                   [](const PlannedDomain& a, const PlannedDomain& b) {
                     return a.free.size() > b.free.size();
                   });
  for (PlannedDomain& domain : domains) {
    for (std::size_t i = 0; i < model_count; ++i) {
      fill[i] = fill_of(i);
    }
    if (domain.unsettled) {
      continue;
    }
    std::vector<std::size_t> mix;
    if (domain.filling) {
      mix = MixOfFilling(profile, domain, largest);
    } else {
      const bool untouched = domain.groups.empty();
      const std::size_t keep =
          untouched ? std::min(settings_.reserve_per_domain, domain.free.size())
                    : 0;
      mix = BestMix(profile, domain.free.size() - keep, fill);
    }
    for (std::size_t i = 0; i < model_count; ++i) {
      const ModelProfile& model = profile.models[i];
      for (std::size_t n = 0; n < mix[i]; ++n) {
        const std::size_t left = domain.free.size() - model.group_size;
        // One more than the fleet is meant to have must not cost the reserve.
        if (have[i] >= wanted[i] && left < settings_.reserve_per_domain) {
          continue;
        }
        std::stable_sort(domain.free.begin(), domain.free.end(),
                         [&](const FreeVm& a, const FreeVm& b) {
                           return EffortOf(a, model.model) <
                                  EffortOf(b, model.model);
                         });
        PlannedGroup group{domain.domain, model.model, {}};
        const auto end =
            domain.free.begin() + static_cast<std::ptrdiff_t>(model.group_size);
        for (auto it = domain.free.begin(); it != end; ++it) {
          group.members.push_back(it->vm);
        }
        domain.free.erase(domain.free.begin(), end);
        ++domain.groups[model.model];
        ++have[i];
        plan.groups.push_back(std::move(group));
      }
    }
    if (domain.filling) {
      continue;
    }
    // Spares hold the weights of the models whose members are most likely to be
    // lost, which are those with the most VMs for each spare.
    std::vector<double> spares(model_count, 0);
    std::vector<const FreeVm*> empty;
    for (const FreeVm& vm : domain.free) {
      bool counted = false;
      for (std::size_t i = 0; i < model_count && !counted; ++i) {
        if (HasAtHand(vm, profile.models[i].model)) {
          spares[i] += 1;
          counted = true;
        }
      }
      if (!counted) {
        empty.push_back(&vm);
      }
    }
    for (const FreeVm* vm : empty) {
      std::size_t most = 0;
      double most_need = -1;
      for (std::size_t i = 0; i < model_count; ++i) {
        const auto found = domain.groups.find(profile.models[i].model);
        const ModelProfile& model = profile.models[i];
        const double members =
            found == domain.groups.end()
                ? 0
                : static_cast<double>(found->second * model.group_size);
        // Time that a group without such a spare would be down, by how likely
        // it is to lose a member. Squared: the second spare of a model helps
        // only after a second loss.
        const double covered = spares[i] + 1;
        const double need = (members + 0.1) *
                            static_cast<double>(model.load_time.millis()) /
                            (covered * covered);
        if (need > most_need) {
          most_need = need;
          most = i;
        }
      }
      spares[most] += 1;
      plan.stagings.push_back({vm->vm, profile.models[most].model});
    }
  }
  return plan;
}

}  // namespace gcw
