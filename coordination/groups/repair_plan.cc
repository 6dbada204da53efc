#include "coordination/groups/repair_plan.h"

#include <algorithm>
#include <utility>

namespace gcw {

RepairPlan::RepairPlan(const PlannerSettings& settings,
                       const PlannerView& view,
                       PlanContext context)
    : settings_(settings), view_(view), context_(std::move(context)) {}

std::vector<RepairMove> RepairPlan::Run() {
  CollectFreeVms();
  CollectGroups();
  FinishDrained();
  StartPlannedStops();
  RepairBroken();
  FillToMinimum();
  FillSurplus();
  TrimExcess();
  return std::move(moves_);
}

void RepairPlan::CollectFreeVms() {
  for (const auto& [id, vm] : view_.vms) {
    ++vm_count_[vm.domain];
    if (vm.assignable && !vm.held_off &&
        vm.condition == VmCondition::kHealthy) {
      free_vms_[vm.domain].push_back(id);
    }
  }
}

void RepairPlan::CollectGroups() {
  for (const auto& [domain, record] : view_.records) {
    for (const GroupRecord& group : record.groups) {
      groups_.push_back(DescribeGroup(domain, group));
    }
  }
}

RepairPlan::GroupView RepairPlan::DescribeGroup(
    const FabricDomainId& domain,
    const GroupRecord& record) const {
  GroupView group;
  group.domain = domain;
  group.record = &record;
  group.model = FindModel(record.model);
  for (const VmId& id : record.members) {
    const auto it = view_.vms.find(id);
    const bool is_known = it != view_.vms.end();
    const VmCondition condition =
        is_known ? it->second.condition : VmCondition::kLost;
    const bool is_held_off = is_known && it->second.held_off;
    // A restarted VM may stay in its group unless it flaps.
    const bool may_stay =
        condition == VmCondition::kHealthy ||
        (condition == VmCondition::kRestarted && !is_held_off);
    if (!may_stay) {
      group.to_replace.push_back(id);
    }
    if (condition == VmCondition::kRestarted && is_held_off) {
      group.flapping.push_back(id);
    }
    group.is_leaving = group.is_leaving || condition == VmCondition::kLeaving;
    group.is_broken = group.is_broken || condition == VmCondition::kLost ||
                      condition == VmCondition::kRestarted;
  }
  return group;
}

const DesiredModel* RepairPlan::FindModel(const ModelId& model) const {
  for (const DesiredModel& desired : view_.desired_models) {
    if (desired.model == model) {
      return &desired;
    }
  }
  return nullptr;
}

GroupTarget RepairPlan::TargetOf(const DesiredModel& model) const {
  const auto it = model.targets.find(view_.zone);
  return it == model.targets.end() ? GroupTarget() : it->second;
}

// Replaces the leaving members of a drained group if its domain has enough
// spares and no operator asked for the drain. Dissolves the group otherwise.
void RepairPlan::FinishDrained() {
  for (GroupView& group : groups_) {
    if (!view_.drained.contains(group.record->id)) {
      continue;
    }
    const bool is_requested = view_.requested_drains.contains(group.record->id);
    const bool has_spares =
        free_vms_[group.domain].size() >= group.to_replace.size();
    if (!is_requested && group.is_leaving && has_spares) {
      RepairInPlace(group);
      continue;
    }
    group.is_retired = true;
    moves_.emplace_back(DissolveGroup{group.domain, group.record->id,
                                      RepairReason::kPlannedStop});
  }
}

void RepairPlan::StartPlannedStops() {
  for (GroupView& group : groups_) {
    const bool should_stop =
        view_.requested_drains.contains(group.record->id) ||
        group.model == nullptr || (group.is_leaving && !group.is_broken);
    if (should_stop && group.record->state == GroupState::kServing) {
      moves_.emplace_back(DrainGroup{group.domain, group.record->id,
                                     RepairReason::kPlannedStop});
    }
  }
}

// Drains groups above the maximum, which exist if two controllers that knew
// different records filled the same gap.
void RepairPlan::TrimExcess() {
  for (const DesiredModel& model : view_.desired_models) {
    if (CountServing(model.model) <= TargetOf(model).max_groups) {
      continue;
    }
    const auto last = std::find_if(
        groups_.rbegin(), groups_.rend(), [&](const GroupView& group) {
          return group.model == &model && !group.is_retired &&
                 !group.is_reloaded &&
                 group.record->state == GroupState::kServing;
        });
    if (last != groups_.rend()) {
      last->is_retired = true;
      moves_.emplace_back(DrainGroup{last->domain, last->record->id,
                                     RepairReason::kPlannedStop});
    }
  }
}

void RepairPlan::RepairBroken() {
  std::vector<GroupView*> broken;
  for (GroupView& group : groups_) {
    const bool is_repairable = group.model != nullptr && !group.is_retired &&
                               group.record->state != GroupState::kDraining;
    const bool has_lost_while_loading =
        group.record->state == GroupState::kLoading &&
        !group.to_replace.empty();
    if (is_repairable && (group.is_broken || has_lost_while_loading)) {
      broken.push_back(&group);
    }
  }
  std::stable_sort(broken.begin(), broken.end(),
                   [&](GroupView* a, GroupView* b) {
                     return settings_.prioritize_by_need
                                ? NeedOf(*a) < NeedOf(*b)
                                : context_.broken_since.at(a->record->id) <
                                      context_.broken_since.at(b->record->id);
                   });
  for (GroupView* group : broken) {
    Repair(*group);
  }
}

void RepairPlan::Repair(GroupView& group) {
  // An earlier repair may have taken this group apart.
  if (group.is_retired || RepairInPlace(group) ||
      !settings_.prioritize_by_need) {
    return;
  }
  // All groups of a dark domain would move at once, and would still be loading
  // weights when the domain returns.
  if (IsInDarkHold(group.domain) || context_.load_budget <= 0) {
    return;
  }
  if (Borrow(group) || RebuildElsewhere(group) || GiveUp(group)) {
    return;
  }
  ReinstateFlapping(group);
}

bool RepairPlan::RepairInPlace(GroupView& group) {
  if (context_.load_budget <= 0 &&
      group.record->state != GroupState::kLoading) {
    return false;
  }
  if (free_vms_[group.domain].size() < group.to_replace.size()) {
    return false;
  }
  Reload(group, group.to_replace);
  return true;
}

void RepairPlan::Reload(GroupView& group, const std::vector<VmId>& removed) {
  if (group.record->state != GroupState::kLoading) {
    --context_.load_budget;
  }
  group.is_broken = false;
  group.is_reloaded = true;
  moves_.emplace_back(ReplaceMembers{group.domain, group.record->id, removed,
                                     TakeFree(group.domain, removed.size()),
                                     RepairReason::kSpare});
}

// Dissolves a broken group above the minimum number if, by the weights, its
// remaining members are worth more as spares than in a group that waits.
bool RepairPlan::GiveUp(GroupView& group) {
  const auto spares = static_cast<std::int64_t>(free_vms_[group.domain].size());
  const auto vms = static_cast<std::int64_t>(group.record->members.size() -
                                             group.to_replace.size());
  if (!IsSurplus(group) || IsWorthMoreThanSpares(group.domain, spares, vms)) {
    return false;
  }
  group.is_retired = true;
  moves_.emplace_back(
      DissolveGroup{group.domain, group.record->id, RepairReason::kGiveUp});
  return true;
}

// Takes flapping members back if nothing else helps: a flapping group serves
// some of the time, a waiting group never does.
bool RepairPlan::ReinstateFlapping(GroupView& group) {
  std::vector<VmId> removed;
  for (const VmId& vm : group.to_replace) {
    if (std::find(group.flapping.begin(), group.flapping.end(), vm) ==
        group.flapping.end()) {
      removed.push_back(vm);
    }
  }
  if (group.flapping.empty() ||
      free_vms_[group.domain].size() < removed.size()) {
    return false;
  }
  Reload(group, removed);
  return true;
}

// Frees VMs of a less needed group of the same domain. They become spares when
// their engines have left that group; a later round then repairs `group`.
bool RepairPlan::Borrow(GroupView& group) {
  GroupView* victim = nullptr;
  for (GroupView& candidate : groups_) {
    const bool is_possible =
        &candidate != &group && candidate.domain == group.domain &&
        !candidate.is_retired && candidate.model != nullptr &&
        IsLessNeeded(candidate, group) &&
        candidate.record->members.size() - candidate.to_replace.size() +
                free_vms_[group.domain].size() >=
            group.to_replace.size();
    if (is_possible &&
        (victim == nullptr || IsLessNeeded(candidate, *victim))) {
      victim = &candidate;
    }
  }
  if (victim == nullptr) {
    return false;
  }
  if (victim->record->state == GroupState::kDraining) {
    // Its VMs become free when the drain ends.
    return true;
  }
  if (victim->is_broken) {
    victim->is_retired = true;
    moves_.emplace_back(DissolveGroup{victim->domain, victim->record->id,
                                      RepairReason::kBorrow});
    return true;
  }
  if (context_.borrow_budget <= 0) {
    return false;
  }
  --context_.borrow_budget;
  ++borrowed_;
  victim->is_retired = true;
  moves_.emplace_back(
      DrainGroup{victim->domain, victim->record->id, RepairReason::kBorrow});
  return true;
}

bool RepairPlan::RebuildElsewhere(GroupView& group) {
  if (!FormNewGroup(*group.model, RepairReason::kRebuildElsewhere)) {
    return false;
  }
  group.is_retired = true;
  moves_.emplace_back(DissolveGroup{group.domain, group.record->id,
                                    RepairReason::kRebuildElsewhere});
  return true;
}

std::vector<VmId> RepairPlan::TakeFree(const FabricDomainId& domain,
                                       std::size_t count) {
  std::vector<VmId>& free = free_vms_[domain];
  const auto end = free.begin() + static_cast<std::ptrdiff_t>(count);
  std::vector<VmId> taken(free.begin(), end);
  free.erase(free.begin(), end);
  return taken;
}

bool RepairPlan::FormNewGroup(const DesiredModel& model, RepairReason reason) {
  if (context_.load_budget <= 0) {
    return false;
  }
  const FabricDomainId* domain = DomainWithMostFree(model.vms_per_group);
  if (domain == nullptr) {
    return false;
  }
  --context_.load_budget;
  moves_.emplace_back(FormGroup{
      *domain, model.model,
      TakeFree(*domain, static_cast<std::size_t>(model.vms_per_group)),
      reason});
  return true;
}

}  // namespace gcw
