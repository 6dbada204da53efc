#include "coordination/groups/domain_reconciler.h"

#include <algorithm>
#include <string>
#include <utility>

#include "coordination/configuration/record_changes.h"

namespace gcw {
namespace {

bool IsInGeneration(const EngineStatus& status, const GroupRecord& group) {
  return status.group == group.id && status.generation == group.generation;
}

}  // namespace

DomainReconciler::DomainReconciler(FabricDomainId domain,
                                   const GroupControllerSettings& settings,
                                   DomainWriter writer,
                                   EventSink events)
    : domain_(std::move(domain)),
      settings_(settings),
      writer_(std::move(writer)),
      order_sender_(settings.order),
      events_(std::move(events)) {}

void DomainReconciler::OnRoleHeld(Time now,
                                  FencingToken fence,
                                  Time valid_until) {
  if (order_sender_.fence() != fence) {
    writer_.Start(now, fence);
  }
  order_sender_.OnRoleHeld(now, fence, valid_until);
}

void DomainReconciler::Reconcile(Time now,
                                 const VmTracker& tracker,
                                 const std::vector<RepairMove>& moves) {
  if (writer_.state() != WriterState::kReady) {
    return;
  }
  RecordFirstSeenTimes(now);
  DomainRecord next = writer_.record();
  // The first write claims the record, so that a predecessor's writes fail from
  // then on.
  bool changed = !writer_.IsClaimed();
  changed = RemoveDepartedMembers(now, tracker, next) || changed;
  changed = MarkServingGroups(tracker, next) || changed;
  changed = ApplyMoves(tracker, moves, next) || changed;
  if (changed) {
    writer_.Propose(now, std::move(next), NextChange());
  }
}

bool DomainReconciler::OnStoreReply(Time now,
                                    StoreCallId id,
                                    const StoreReply& reply) {
  const Revision before = writer_.revision();
  writer_.OnReply(now, id, reply);
  return writer_.revision() > before;
}

// Records when this node first saw each drain and each departure.
void DomainReconciler::RecordFirstSeenTimes(Time now) {
  const DomainRecord& record = writer_.record();
  std::map<GroupId, Time> draining;
  for (const GroupRecord& group : record.groups) {
    if (group.state == GroupState::kDraining) {
      const auto it = draining_since_.find(group.id);
      draining[group.id] = it == draining_since_.end() ? now : it->second;
    }
  }
  draining_since_ = std::move(draining);
  std::map<VmId, Time> leaving;
  for (const LeavingMember& member : record.leaving) {
    const auto it = leaving_since_.find(member.vm);
    leaving[member.vm] = it == leaving_since_.end() ? now : it->second;
  }
  leaving_since_ = std::move(leaving);
}

bool DomainReconciler::RemoveDepartedMembers(Time now,
                                             const VmTracker& tracker,
                                             DomainRecord& next) {
  return std::erase_if(next.leaving, [&](const LeavingMember& member) {
           return HasLeft(now, tracker, member);
         }) > 0;
}

bool DomainReconciler::HasLeft(Time now,
                               const VmTracker& tracker,
                               const LeavingMember& member) const {
  const VmFacts* facts = tracker.Find(member.vm);
  if (facts == nullptr) {
    return false;
  }
  if (tracker.IsGone(now, member.vm)) {
    return true;
  }
  const auto since = leaving_since_.find(member.vm);
  return since != leaving_since_.end() && facts->status &&
         !facts->failing_since && facts->status_time >= since->second &&
         facts->status_time >= order_sender_.SettledAt(member.vm) &&
         facts->status_time >= order_sender_.earliest_order_time() &&
         facts->status->group != member.group;
}

bool DomainReconciler::MarkServingGroups(const VmTracker& tracker,
                                         DomainRecord& next) {
  bool changed = false;
  for (GroupRecord& group : next.groups) {
    const bool is_ready =
        group.state == GroupState::kLoading &&
        std::all_of(group.members.begin(), group.members.end(),
                    [&](const VmId& vm) {
                      const VmFacts* facts = tracker.Find(vm);
                      return facts != nullptr && facts->status &&
                             !facts->failing_since &&
                             IsInGeneration(*facts->status, group) &&
                             facts->status->state == EngineState::kReady;
                    });
    if (is_ready) {
      group.state = GroupState::kServing;
      changed = true;
    }
  }
  return changed;
}

bool DomainReconciler::ApplyMoves(const VmTracker& tracker,
                                  const std::vector<RepairMove>& moves,
                                  DomainRecord& next) {
  bool changed = false;
  for (const RepairMove& move : moves) {
    changed = ApplyMove(next, move, NextGroup()) || changed;
  }
  if (!changed) {
    return false;
  }
  // Engines may have generations that a restored record lacks. If a generation
  // were reused for different members, old evidence would open the group.
  for (GroupRecord& group : next.groups) {
    for (const auto& [vm, facts] : tracker.all()) {
      if (group.state == GroupState::kLoading && facts.status &&
          facts.status->group == group.id &&
          !(FindGroup(writer_.record(), group.id) != nullptr &&
            *FindGroup(writer_.record(), group.id) == group)) {
        group.generation = std::max(group.generation,
                                    facts.status->generation + Generation(1));
      }
    }
  }
  return true;
}

std::set<GroupId> DomainReconciler::DrainedGroups(
    Time now,
    const VmTracker& tracker) const {
  std::set<GroupId> drained;
  for (const GroupRecord& group : writer_.record().groups) {
    if (group.state == GroupState::kDraining &&
        IsDrained(now, tracker, group)) {
      drained.insert(group.id);
    }
  }
  return drained;
}

bool DomainReconciler::IsDrained(Time now,
                                 const VmTracker& tracker,
                                 const GroupRecord& group) const {
  const auto since = draining_since_.find(group.id);
  if (since == draining_since_.end() ||
      now < since->second + settings_.drain_hold) {
    return false;
  }
  const VmId& first = group.members.front();
  const VmFacts* facts = tracker.Find(first);
  const bool is_past_limit = now >= since->second + settings_.drain_limit;
  if (is_past_limit || tracker.IsUnreachable(now, first)) {
    return true;
  }
  if (facts == nullptr || !facts->status || facts->failing_since ||
      facts->status_time < since->second + settings_.drain_hold) {
    return false;
  }
  return !IsInGeneration(*facts->status, group) || facts->status->active == 0;
}

VmCondition DomainReconciler::ConditionOf(Time now,
                                          const VmTracker& tracker,
                                          const VmId& vm) const {
  const VmFacts* facts = tracker.Find(vm);
  if (facts == nullptr || tracker.IsUnreachable(now, vm)) {
    return VmCondition::kLost;
  }
  if (facts->entry.state == VmState::kLeaving || tracker.IsGone(now, vm)) {
    return VmCondition::kLeaving;
  }
  const GroupRecord* group = FindGroupOf(writer_.record(), vm);
  if (group == nullptr || !facts->status) {
    return VmCondition::kHealthy;
  }
  const EngineStatus& status = *facts->status;
  if (status.state == EngineState::kFailed) {
    return VmCondition::kLost;
  }
  if (group->state == GroupState::kLoading || IsInGeneration(status, *group)) {
    return VmCondition::kHealthy;
  }
  return status.group.empty() ? VmCondition::kRestarted : VmCondition::kLost;
}

bool DomainReconciler::IsAssignable(Time now,
                                    const VmTracker& tracker,
                                    const VmId& vm) const {
  const VmFacts* facts = tracker.Find(vm);
  return facts != nullptr && facts->listed &&
         facts->entry.state == VmState::kLive &&
         !IsMemberOrLeaving(writer_.record(), vm) &&
         !order_sender_.IsPending(now, vm) &&
         tracker.IsIdleSince(vm, std::max(order_sender_.SettledAt(vm),
                                          order_sender_.earliest_order_time()));
}

ChangeId DomainReconciler::NextChange() {
  ++last_change_;
  return ChangeId(domain_.value() + "/" +
                  std::to_string(order_sender_.fence()->value()) + "/" +
                  std::to_string(last_change_));
}

GroupId DomainReconciler::NextGroup() {
  ++last_group_;
  return GroupId(domain_.value() + "-" +
                 std::to_string(order_sender_.fence()->value()) + "-" +
                 std::to_string(last_group_));
}

}  // namespace gcw
