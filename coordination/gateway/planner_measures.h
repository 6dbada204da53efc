#ifndef COORDINATION_GATEWAY_PLANNER_MEASURES_H_
#define COORDINATION_GATEWAY_PLANNER_MEASURES_H_

#include <algorithm>
#include <cmath>
#include <cstddef>

#include "coordination/gateway/group_planner.h"

namespace gcw {

// Measures of VMs, groups and models that the planner uses.

// Minimum share of the work, so that a model without work still gets a group if
// there is room.
inline constexpr double kMinWorkShare = 0.01;

// Whether the VM's host holds the model's weights.
inline bool HasStaged(const VmCandidate& vm, const ModelId& model) {
  return std::find(vm.staged.begin(), vm.staged.end(), model) !=
         vm.staged.end();
}

// Whether the VM can join a group of the model without a load.
inline bool CanStartWithoutLoad(const VmCandidate& vm, const ModelId& model) {
  return vm.last_model == model || HasStaged(vm, model);
}

inline double EffectiveShare(const ModelProfile& model) {
  return std::max(kMinWorkShare, model.work_share);
}

// Value of covering a model's share of the work `coverage` times. Each further
// group of a model is worth less than the one before.
inline double CoverageValue(const ModelProfile& model, double coverage) {
  return model.importance * EffectiveShare(model) * (1 - std::exp(-coverage));
}

inline std::size_t GroupCountOf(const DomainSnapshot& domain,
                                const ModelId& model) {
  const auto found = domain.group_counts.find(model);
  return found == domain.group_counts.end() ? 0 : found->second;
}

}  // namespace gcw

#endif  // COORDINATION_GATEWAY_PLANNER_MEASURES_H_
