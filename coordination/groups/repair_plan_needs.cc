#include <algorithm>
#include <cmath>

#include "coordination/groups/repair_plan.h"

namespace gcw {
namespace {

constexpr double kSecondsPerDay = 86400;

// Returns the probability that a Poisson variable is at least `count`.
double PoissonTail(double mean, std::int64_t count) {
  double term = std::exp(-mean);
  double below = 0;
  for (std::int64_t i = 0; i < count; ++i) {
    below += term;
    term *= mean / static_cast<double>(i + 1);
  }
  return std::max(0.0, 1.0 - below);
}

}  // namespace

bool RepairPlan::IsInDarkHold(const FabricDomainId& domain) const {
  const auto it = context_.dark_since.find(domain);
  return it != context_.dark_since.end() &&
         context_.now - it->second < settings_.dark_hold;
}

bool RepairPlan::IsSurplus(const GroupView& group) const {
  return CountGroups(group.model->model) > TargetOf(*group.model).min_groups;
}

// Groups above the minimum number are needed least. Then the model's rank
// counts, then its shortfall, then which group broke first.
std::tuple<bool, std::int64_t, std::int64_t, Time> RepairPlan::NeedOf(
    const GroupView& group) const {
  const std::int64_t shortfall =
      TargetOf(*group.model).min_groups - CountServing(group.model->model);
  const auto since = context_.broken_since.find(group.record->id);
  return {IsSurplus(group), group.model->rank.value(), -shortfall,
          since == context_.broken_since.end() ? Time() : since->second};
}

bool RepairPlan::IsLessNeeded(const GroupView& a, const GroupView& b) const {
  const auto need_a = NeedOf(a);
  const auto need_b = NeedOf(b);
  const bool is_same_rank = std::get<0>(need_a) == std::get<0>(need_b) &&
                            std::get<1>(need_a) == std::get<1>(need_b);
  // Taking an intact group apart for another of the same rank only moves the
  // loss.
  if (!a.is_broken && is_same_rank) {
    return false;
  }
  return need_a > need_b;
}

std::int64_t RepairPlan::CountGroups(const ModelId& model) const {
  std::int64_t count = 0;
  for (const GroupView& group : groups_) {
    count += group.record->model == model && !group.is_retired &&
                     group.record->state != GroupState::kDraining
                 ? 1
                 : 0;
  }
  for (const RepairMove& move : moves_) {
    const auto* form = std::get_if<FormGroup>(&move);
    count += form != nullptr && form->model == model ? 1 : 0;
  }
  return count;
}

std::int64_t RepairPlan::CountServing(const ModelId& model) const {
  std::int64_t count = 0;
  for (const GroupView& group : groups_) {
    count += group.record->model == model && !group.is_retired &&
                     group.record->state == GroupState::kServing &&
                     !group.is_broken && !group.is_reloaded
                 ? 1
                 : 0;
  }
  return count;
}

const FabricDomainId* RepairPlan::DomainWithMostFree(std::int64_t vms) const {
  const FabricDomainId* best = nullptr;
  std::size_t max_free = 0;
  for (const auto& [domain, free] : free_vms_) {
    if (free.size() >= static_cast<std::size_t>(vms) &&
        free.size() > max_free && !context_.dark_since.contains(domain)) {
      best = &domain;
      max_free = free.size();
    }
  }
  return best;
}

void RepairPlan::FillToMinimum() {
  std::vector<const DesiredModel*> models;
  for (const DesiredModel& model : view_.desired_models) {
    models.push_back(&model);
  }
  std::stable_sort(models.begin(), models.end(),
                   [](const DesiredModel* a, const DesiredModel* b) {
                     return a->rank < b->rank;
                   });
  for (const DesiredModel* model : models) {
    while (CountGroups(model->model) < TargetOf(*model).min_groups &&
           FormNewGroup(*model, RepairReason::kFill)) {
    }
  }
}

void RepairPlan::FillSurplus() {
  for (const DesiredModel& model : view_.desired_models) {
    while (CountGroups(model.model) < TargetOf(model).max_groups) {
      const FabricDomainId* domain = DomainWithMostFree(model.vms_per_group);
      if (domain == nullptr ||
          (settings_.prioritize_by_need &&
           !IsWorthMoreThanSpares(
               *domain,
               static_cast<std::int64_t>(free_vms_.at(*domain).size()) -
                   model.vms_per_group,
               model.vms_per_group)) ||
          !FormNewGroup(model, RepairReason::kFill)) {
        break;
      }
    }
  }
}

// Compares what VMs save as spares of their domain with what they cost while
// idle. The k-th spare saves a group's downtime while at least k VMs of the
// domain are out; the number of VMs out is modelled as Poisson-distributed.
bool RepairPlan::IsWorthMoreThanSpares(const FabricDomainId& domain,
                                       std::int64_t spares_left,
                                       std::int64_t vms) const {
  const double mean_unavailable =
      settings_.losses_per_vm_day / kSecondsPerDay *
      static_cast<double>(vm_count_.at(domain)) *
      static_cast<double>(settings_.mean_recovery_time.millis()) / 1000.0;
  double saved = 0;
  for (std::int64_t k = spares_left + 1; k <= spares_left + vms; ++k) {
    saved += PoissonTail(mean_unavailable, k);
  }
  double accelerators = 0;
  for (const auto& [id, vm] : view_.vms) {
    accelerators +=
        vm.domain == domain ? static_cast<double>(vm.accelerators) : 0;
  }
  const double idle = accelerators / static_cast<double>(vm_count_.at(domain)) *
                      static_cast<double>(vms);
  return settings_.weights.stranded_accelerator * idle >
         settings_.weights.group_downtime * saved;
}

}  // namespace gcw
