#include "coordination/groups/repair_planner.h"

#include <algorithm>
#include <utility>

#include "coordination/groups/repair_plan.h"

namespace gcw {
namespace {

bool IsUnavailable(const PlannerView& view, const VmId& vm) {
  const auto it = view.vms.find(vm);
  return it == view.vms.end() || it->second.condition != VmCondition::kHealthy;
}

}  // namespace

std::string_view RepairReasonName(RepairReason reason) {
  switch (reason) {
    case RepairReason::kSpare:
      return "spare";
    case RepairReason::kBorrow:
      return "borrow";
    case RepairReason::kRebuildElsewhere:
      return "rebuild_elsewhere";
    case RepairReason::kFill:
      return "fill";
    case RepairReason::kGiveUp:
      return "give_up";
    case RepairReason::kPlannedStop:
      return "planned_stop";
  }
  return "unknown";
}

RepairPlanner::RepairPlanner(PlannerSettings settings) : settings_(settings) {}

std::vector<RepairMove> RepairPlanner::Plan(Time now, const PlannerView& view) {
  UpdateDark(now, view);
  UpdateBroken(now, view);
  std::erase_if(borrow_times_,
                [&](Time at) { return now - at >= settings_.borrow_window; });
  PlanContext context;
  context.now = now;
  context.dark_since = dark_since_;
  context.broken_since = broken_since_;
  context.load_budget = LoadBudget(view);
  context.borrow_budget =
      settings_.max_borrows - static_cast<std::int64_t>(borrow_times_.size());
  RepairPlan plan(settings_, view, std::move(context));
  std::vector<RepairMove> moves = plan.Run();
  borrow_times_.insert(borrow_times_.end(),
                       static_cast<std::size_t>(plan.borrowed()), now);
  return moves;
}

void RepairPlanner::UpdateDark(Time now, const PlannerView& view) {
  struct Count {
    std::int64_t all = 0;
    std::int64_t lost = 0;
  };
  std::map<FabricDomainId, Count> counts;
  for (const auto& [id, vm] : view.vms) {
    Count& count = counts[vm.domain];
    ++count.all;
    count.lost += vm.condition == VmCondition::kLost ? 1 : 0;
  }
  for (const auto& [domain, count] : counts) {
    // One lost VM out of two is a lost VM, not a dark domain.
    constexpr std::int64_t kMinLost = 3;
    const bool is_dark =
        count.lost >= kMinLost &&
        static_cast<double>(count.lost) >=
            settings_.dark_share * static_cast<double>(count.all);
    if (is_dark) {
      dark_since_.try_emplace(domain, now);
    } else {
      dark_since_.erase(domain);
    }
  }
}

void RepairPlanner::UpdateBroken(Time now, const PlannerView& view) {
  std::map<GroupId, Time> broken;
  for (const auto& [domain, record] : view.records) {
    for (const GroupRecord& group : record.groups) {
      const bool is_broken =
          std::any_of(group.members.begin(), group.members.end(),
                      [&](const VmId& vm) { return IsUnavailable(view, vm); });
      if (is_broken) {
        const auto it = broken_since_.find(group.id);
        broken[group.id] = it == broken_since_.end() ? now : it->second;
      }
    }
  }
  broken_since_ = std::move(broken);
}

// Loads share the weight store's rate: more at once would not end sooner, and
// the most needed load would end later.
std::int64_t RepairPlanner::LoadBudget(const PlannerView& view) const {
  if (view.load_wait > settings_.max_load_wait) {
    return 0;
  }
  std::int64_t loading = 0;
  for (const auto& [domain, record] : view.records) {
    loading += std::count_if(record.groups.begin(), record.groups.end(),
                             [](const GroupRecord& group) {
                               return group.state == GroupState::kLoading;
                             });
  }
  return settings_.max_loads - loading;
}

}  // namespace gcw
