#ifndef COORDINATION_GATEWAY_PLANNER_MEASURES_H_
#define COORDINATION_GATEWAY_PLANNER_MEASURES_H_

#include <algorithm>
#include <cmath>
#include <cstddef>

#include "coordination/gateway/group_planner.h"

namespace gcw {

// What the planner measures VMs, groups and models by.

// A model with no work yet still gets a group where there is room.
inline constexpr double kMinShare = 0.01;

// Whether its host holds the model's weights.
inline bool HasAtHand(const FreeVm& vm, const ModelId& model) {
  return std::find(vm.at_hand.begin(), vm.at_hand.end(), model) !=
         vm.at_hand.end();
}

// Whether the VM can join a group of the model without a load.
inline bool CanTakeUp(const FreeVm& vm, const ModelId& model) {
  return vm.last_model == model || HasAtHand(vm, model);
}

inline double ShareOf(const ModelProfile& model) {
  return std::max(kMinShare, model.work_share);
}

// Worth of having `fill` times the VMs that a model's part of the work calls
// for: each further group of one model is worth less than the one before.
inline double WorthOf(double share, double fill) {
  return share * (1 - std::exp(-fill));
}

inline std::size_t GroupsOf(const PlannedDomain& domain, const ModelId& model) {
  const auto found = domain.groups.find(model);
  return found == domain.groups.end() ? 0 : found->second;
}

}  // namespace gcw

#endif  // COORDINATION_GATEWAY_PLANNER_MEASURES_H_
