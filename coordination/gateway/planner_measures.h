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
inline constexpr double kMinShare = 0.01;

// Whether the VM's host holds the model's weights.
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

// Value of covering a model's share of the work `fill` times. Each further
// group of a model is worth less than the one before.
inline double WorthOf(double share, double fill) {
  return share * (1 - std::exp(-fill));
}

inline std::size_t GroupsOf(const PlannedDomain& domain, const ModelId& model) {
  const auto found = domain.groups.find(model);
  return found == domain.groups.end() ? 0 : found->second;
}

}  // namespace gcw

#endif  // COORDINATION_GATEWAY_PLANNER_MEASURES_H_
