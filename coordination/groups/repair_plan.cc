#include "coordination/groups/repair_plan.h"

#include <algorithm>
#include <utility>

namespace gcw {

RepairPlan::RepairPlan(const PlannerSettings& settings,
                       const PlannerView& view,
                       PlanContext context)
    : settings_(settings), view_(view), context_(std::move(context)) {}

std::vector<RepairMove> RepairPlan::Run() {
  CollectFree();
  CollectSeats();
  FinishDrained();
  StartPlannedStops();
  RepairBroken();
  FillWanted();
  FillSurplus();
  TrimExcess();
  return std::move(moves_);
}

void RepairPlan::CollectFree() {
  for (const auto& [id, vm] : view_.vms) {
    ++vm_count_[vm.domain];
    if (vm.assignable && !vm.held_off &&
        vm.condition == VmCondition::kHealthy) {
      free_[vm.domain].push_back(id);
    }
  }
}

void RepairPlan::CollectSeats() {
  for (const auto& [domain, record] : view_.records) {
    for (const GroupRecord& group : record.groups) {
      seats_.push_back(Describe(domain, group));
    }
  }
}

RepairPlan::Seat RepairPlan::Describe(const FabricDomainId& domain,
                                      const GroupRecord& group) const {
  Seat seat;
  seat.domain = domain;
  seat.group = &group;
  seat.model = FindModel(group.model);
  for (const VmId& id : group.members) {
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
      seat.lost.push_back(id);
    }
    if (condition == VmCondition::kRestarted && is_held_off) {
      seat.flapping.push_back(id);
    }
    seat.is_leaving = seat.is_leaving || condition == VmCondition::kLeaving;
    seat.is_broken = seat.is_broken || condition == VmCondition::kLost ||
                     condition == VmCondition::kRestarted;
  }
  return seat;
}

const WantedModel* RepairPlan::FindModel(const ModelId& model) const {
  for (const WantedModel& wanted : view_.wanted) {
    if (wanted.model == model) {
      return &wanted;
    }
  }
  return nullptr;
}

GroupTarget RepairPlan::TargetOf(const WantedModel& model) const {
  const auto it = model.targets.find(view_.zone);
  return it == model.targets.end() ? GroupTarget() : it->second;
}

// Replaces the leaving members of a drained group if its domain has enough
// spares and no operator asked for the drain. Dissolves the group otherwise.
void RepairPlan::FinishDrained() {
  for (Seat& seat : seats_) {
    if (!view_.drained.contains(seat.group->id)) {
      continue;
    }
    const bool is_asked = view_.drains_asked.contains(seat.group->id);
    const bool has_spares = free_[seat.domain].size() >= seat.lost.size();
    if (!is_asked && seat.is_leaving && has_spares) {
      RepairInPlace(seat);
      continue;
    }
    seat.is_taken = true;
    moves_.emplace_back(
        DissolveGroup{seat.domain, seat.group->id, RepairReason::kPlannedStop});
  }
}

void RepairPlan::StartPlannedStops() {
  for (Seat& seat : seats_) {
    const bool is_over = view_.drains_asked.contains(seat.group->id) ||
                         seat.model == nullptr ||
                         (seat.is_leaving && !seat.is_broken);
    if (is_over && seat.group->state == GroupState::kServing) {
      moves_.emplace_back(
          DrainGroup{seat.domain, seat.group->id, RepairReason::kPlannedStop});
    }
  }
}

// Drains groups above the maximum, which exist if two keepers that knew
// different records filled the same gap.
void RepairPlan::TrimExcess() {
  for (const WantedModel& model : view_.wanted) {
    if (CountServing(model.model) <= TargetOf(model).most) {
      continue;
    }
    const auto last =
        std::find_if(seats_.rbegin(), seats_.rend(), [&](const Seat& seat) {
          return seat.model == &model && !seat.is_taken && !seat.is_moved &&
                 seat.group->state == GroupState::kServing;
        });
    if (last != seats_.rend()) {
      last->is_taken = true;
      moves_.emplace_back(DrainGroup{last->domain, last->group->id,
                                     RepairReason::kPlannedStop});
    }
  }
}

void RepairPlan::RepairBroken() {
  std::vector<Seat*> broken;
  for (Seat& seat : seats_) {
    const bool is_repairable = seat.model != nullptr && !seat.is_taken &&
                               seat.group->state != GroupState::kDraining;
    const bool has_lost_while_loading =
        seat.group->state == GroupState::kLoading && !seat.lost.empty();
    if (is_repairable && (seat.is_broken || has_lost_while_loading)) {
      broken.push_back(&seat);
    }
  }
  std::stable_sort(broken.begin(), broken.end(), [&](Seat* a, Seat* b) {
    return settings_.by_need ? NeedOf(*a) < NeedOf(*b)
                             : context_.broken_since.at(a->group->id) <
                                   context_.broken_since.at(b->group->id);
  });
  for (Seat* seat : broken) {
    Repair(*seat);
  }
}

void RepairPlan::Repair(Seat& seat) {
  // An earlier repair may have taken this group apart.
  if (seat.is_taken || RepairInPlace(seat) || !settings_.by_need) {
    return;
  }
  // All groups of a dark domain would move at once, and would still be loading
  // weights when the domain returns.
  if (IsHeldDark(seat.domain) || context_.loads <= 0) {
    return;
  }
  if (Borrow(seat) || RebuildElsewhere(seat) || GiveUp(seat)) {
    return;
  }
  TakeFlappingBack(seat);
}

bool RepairPlan::RepairInPlace(Seat& seat) {
  if (context_.loads <= 0 && seat.group->state != GroupState::kLoading) {
    return false;
  }
  if (free_[seat.domain].size() < seat.lost.size()) {
    return false;
  }
  Reload(seat, seat.lost);
  return true;
}

void RepairPlan::Reload(Seat& seat, const std::vector<VmId>& removed) {
  if (seat.group->state != GroupState::kLoading) {
    --context_.loads;
  }
  seat.is_broken = false;
  seat.is_moved = true;
  moves_.emplace_back(ReplaceMembers{seat.domain, seat.group->id, removed,
                                     TakeFree(seat.domain, removed.size()),
                                     RepairReason::kSpare});
}

// Dissolves a broken group above the wanted number if, by the weights, its
// remaining members are worth more as spares than in a group that waits.
bool RepairPlan::GiveUp(Seat& seat) {
  const auto spares = static_cast<std::int64_t>(free_[seat.domain].size());
  const auto vms =
      static_cast<std::int64_t>(seat.group->members.size() - seat.lost.size());
  if (!IsSurplus(seat) || IsWorthMoreThanSpares(seat.domain, spares, vms)) {
    return false;
  }
  seat.is_taken = true;
  moves_.emplace_back(
      DissolveGroup{seat.domain, seat.group->id, RepairReason::kGiveUp});
  return true;
}

// Takes flapping members back if nothing else helps: a flapping group serves
// some of the time, a waiting group never does.
bool RepairPlan::TakeFlappingBack(Seat& seat) {
  std::vector<VmId> removed;
  for (const VmId& vm : seat.lost) {
    if (std::find(seat.flapping.begin(), seat.flapping.end(), vm) ==
        seat.flapping.end()) {
      removed.push_back(vm);
    }
  }
  if (seat.flapping.empty() || free_[seat.domain].size() < removed.size()) {
    return false;
  }
  Reload(seat, removed);
  return true;
}

// Frees VMs of a less needed group of the same domain. They become spares when
// their engines have left that group; a later round then repairs `seat`.
bool RepairPlan::Borrow(Seat& seat) {
  Seat* victim = nullptr;
  for (Seat& candidate : seats_) {
    const bool is_possible =
        &candidate != &seat && candidate.domain == seat.domain &&
        !candidate.is_taken && candidate.model != nullptr &&
        NeedsLess(candidate, seat) &&
        candidate.group->members.size() - candidate.lost.size() +
                free_[seat.domain].size() >=
            seat.lost.size();
    if (is_possible && (victim == nullptr || NeedsLess(candidate, *victim))) {
      victim = &candidate;
    }
  }
  if (victim == nullptr) {
    return false;
  }
  if (victim->group->state == GroupState::kDraining) {
    // Its VMs become free when the drain ends.
    return true;
  }
  if (victim->is_broken) {
    victim->is_taken = true;
    moves_.emplace_back(DissolveGroup{victim->domain, victim->group->id,
                                      RepairReason::kBorrow});
    return true;
  }
  if (context_.borrows <= 0) {
    return false;
  }
  --context_.borrows;
  ++borrowed_;
  victim->is_taken = true;
  moves_.emplace_back(
      DrainGroup{victim->domain, victim->group->id, RepairReason::kBorrow});
  return true;
}

bool RepairPlan::RebuildElsewhere(Seat& seat) {
  if (!Form(*seat.model, RepairReason::kRebuildElsewhere)) {
    return false;
  }
  seat.is_taken = true;
  moves_.emplace_back(DissolveGroup{seat.domain, seat.group->id,
                                    RepairReason::kRebuildElsewhere});
  return true;
}

std::vector<VmId> RepairPlan::TakeFree(const FabricDomainId& domain,
                                       std::size_t count) {
  std::vector<VmId>& free = free_[domain];
  const auto end = free.begin() + static_cast<std::ptrdiff_t>(count);
  std::vector<VmId> taken(free.begin(), end);
  free.erase(free.begin(), end);
  return taken;
}

bool RepairPlan::Form(const WantedModel& model, RepairReason reason) {
  if (context_.loads <= 0) {
    return false;
  }
  const FabricDomainId* domain = RoomiestDomain(model.vms_per_group);
  if (domain == nullptr) {
    return false;
  }
  --context_.loads;
  moves_.emplace_back(FormGroup{
      *domain, model.model,
      TakeFree(*domain, static_cast<std::size_t>(model.vms_per_group)),
      reason});
  return true;
}

}  // namespace gcw
