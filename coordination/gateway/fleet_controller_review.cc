// Decides which groups have to end, when they have ended, and which VMs are
// free again.

#include "coordination/gateway/fleet_controller.h"

#include <algorithm>
#include <utility>

#include "coordination/gateway/group_membership.h"

namespace gcw {

void FleetController::ReviewGroups(Time now,
                                   const FleetView& view,
                                   Domain& domain) {
  std::set<GroupId> recorded;
  for (const GroupRecord& group : domain.writer.record().groups) {
    recorded.insert(group.id);
    const auto [it, is_new] = domain.group_statuses.try_emplace(group.id);
    GroupStatus& status = it->second;
    if (is_new) {
      status.observed_since = now;
    }
    for (const VmId& member : group.members) {
      const VmRegistration* vm = view.FindVm(member);
      if (vm == nullptr) {
        continue;
      }
      status.addresses[member] = vm->address;
      if (!IsMemberOf(*vm, group)) {
        continue;
      }
      status.joined.insert(member);
      const MemberPhase phase = vm->membership->phase;
      // A load onto the host continues while the VM serves.
      if (phase != MemberPhase::kJoining && !staging_models_.contains(member)) {
        load_pacer_.End(member);
      }
      if (phase == MemberPhase::kOpen && !status.has_opened) {
        status.has_opened = true;
        ReportGroupEvent(
            EventKind::kGroupServing, group,
            {{"after_ms", (now - status.observed_since).millis()}});
      }
    }
    if (!status.end_reason.empty()) {
      continue;
    }
    const VmId& head = group.members.front();
    if (stalled_groups_.erase({head, group.generation}) > 0 &&
        !status.stalled_since) {
      status.stalled_since = now;
      status.next_member_probe = now;
    }
    // A member may also be lost after the report.
    if (status.stalled_since && now >= status.next_member_probe) {
      status.next_member_probe = now + settings_.probe_interval;
      SuspectMembers(now, group, status);
    }
    if (unreachable_heads_.erase({head, group.generation}) > 0) {
      SuspectMembers(now, group, status);
    }
    status.end_reason = FindEndReason(now, view, domain, group, status);
    if (status.end_reason.empty()) {
      continue;
    }
    status.end_started = now;
    // The member that caused the damage must not join the next group, so all
    // members are probed.
    if (!status.is_planned_end && !status.stalled_since) {
      SuspectMembers(now, group, status);
    }
    ReportGroupClosed(now, group, status);
  }
  std::erase_if(domain.group_statuses, [&](const auto& status) {
    return !recorded.contains(status.first);
  });
}

void FleetController::ReportGroupClosed(Time now,
                                        const GroupRecord& group,
                                        const GroupStatus& status) {
  const Time progress = last_progress_(group.members.front(), group.generation);
  ReportGroupEvent(
      EventKind::kGroupClosed, group,
      {{"reason", status.end_reason},
       {"silent_ms", progress == Time() ? -1 : (now - progress).millis()},
       {"stalled_ms",
        status.stalled_since ? (now - *status.stalled_since).millis() : -1},
       {"quarantined", DescribeQuarantine(group)}});
}

std::string FleetController::DescribeQuarantine(
    const GroupRecord& group) const {
  std::string text;
  for (const VmId& member : group.members) {
    const auto found = suspects_.find(member);
    if (found == suspects_.end() || AwaitsProbeVerdict(member)) {
      continue;
    }
    text += text.empty() ? "" : ",";
    text += member.value() + ":" +
            (found->second.is_slow
                 ? "slow"
                 : std::string(ProbeResultName(found->second.failure)));
  }
  return text;
}

bool FleetController::IsOpen(const FleetView& view, const GroupRecord& group) {
  const VmRegistration* head = view.FindVm(group.members.front());
  return head != nullptr && IsMemberOf(*head, group) &&
         head->membership->phase == MemberPhase::kOpen;
}

std::string FleetController::FindEndReason(Time now,
                                           const FleetView& view,
                                           const Domain& domain,
                                           const GroupRecord& group,
                                           GroupStatus& status) const {
  const VmId& head = group.members.front();
  UpdateMissingRegistrations(now, view, group, status);
  const bool may_miss_registrations = MayMissRegistrations(now, group, status);
  for (const VmId& member : group.members) {
    const VmRegistration* vm = view.FindVm(member);
    if (vm == nullptr && member != head && may_miss_registrations) {
      continue;
    }
    if (vm == nullptr) {
      return "member_lost:" + member.value();
    }
    if (IsUnresponsive(member) &&
        !(status.has_opened && MayBeAlive(now, group, member))) {
      return "member_silent:" + member.value();
    }
    // A member that drains stays while its group has work. Without spares to
    // replace all that leave, closing the group now would only end its service
    // sooner, and closing many groups at once would overload the others.
    if (vm->draining && member != head && status.has_opened &&
        (!CanReplaceLeavingMembers(view, domain, group) ||
         !MayCloseAnotherGroup(domain.service, group.model))) {
      continue;
    }
    if (vm->draining) {
      status.is_planned_end = true;
      return "member_leaving:" + member.value();
    }
    if (!IsMemberOf(*vm, group)) {
      // All members had joined before the group opened. Joining an open group
      // again would not make the group whole, and would bind the member to it.
      if (status.joined.contains(member) || IsOpen(view, group)) {
        return "member_elsewhere:" + member.value();
      }
      continue;
    }
    if (vm->membership->phase == MemberPhase::kBroken) {
      return "broken:" + member.value();
    }
  }
  if (!status.has_opened &&
      now - status.observed_since >= settings_.formation_timeout) {
    return "not_formed";
  }
  if (status.stalled_since) {
    std::string reason = FindStallEndReason(now, view, domain, group, status);
    if (!reason.empty()) {
      return reason;
    }
  }
  if (!status.has_opened && !status.open_ordered && !IsEvacuated(view, group) &&
      CanReplaceLoadingMembers(view, domain, group)) {
    return "better_member";
  }
  return {};
}

void FleetController::UpdateMissingRegistrations(Time now,
                                                 const FleetView& view,
                                                 const GroupRecord& group,
                                                 GroupStatus& status) {
  const bool any_missing =
      std::any_of(group.members.begin(), group.members.end(),
                  [&](const VmId& member) { return !view.FindVm(member); });
  if (!any_missing) {
    status.unregistered_since.reset();
  } else if (!status.unregistered_since) {
    status.unregistered_since = now;
  }
}

// A member that is cut off from the key-value service loses its registration
// but continues to run. Closing its group would also lose the work of the other
// members. With many nodes this one has no stream at most groups, so others are
// asked before the group counts as standing still.
bool FleetController::MayMissRegistrations(Time now,
                                           const GroupRecord& group,
                                           const GroupStatus& status) const {
  const VmId& head = group.members.front();
  return now - last_progress_(head, group.generation) <
             settings_.progress_ttl ||
         (status.has_opened && status.unregistered_since &&
          now - *status.unregistered_since < settings_.witness_time);
}

std::string FleetController::FindStallEndReason(Time now,
                                                const FleetView& view,
                                                const Domain& domain,
                                                const GroupRecord& group,
                                                GroupStatus& status) const {
  std::size_t slow = 0;
  for (const VmId& member : group.members) {
    if (AwaitsProbeVerdict(member)) {
      return {};
    }
    slow += IsSlow(member) ? 1 : 0;
  }
  // A slow group still serves. It is closed only if healthy VMs can replace its
  // slow members: forming it again of the same members would cut its streams
  // for nothing.
  if (slow > 0) {
    if (CountStartableSpares(view, domain, group.model) >= slow) {
      return "member_slow";
    }
    status.stalled_since.reset();
    return {};
  }
  const VmId& head = group.members.front();
  if (last_progress_(head, group.generation) > *status.stalled_since) {
    status.stalled_since.reset();
    return {};
  }
  return now - *status.stalled_since >= settings_.stall_timeout ? "stands_still"
                                                                : std::string();
}

std::size_t FleetController::CountStartableSpares(const FleetView& view,
                                                  const Domain& domain,
                                                  const ModelId& model) const {
  std::set<VmId> assigned;
  for (const GroupRecord& group : domain.writer.record().groups) {
    assigned.insert(group.members.begin(), group.members.end());
  }
  const DomainVms& vms = view.VmsInDomain(domain.writer.record().domain);
  return static_cast<std::size_t>(
      std::count_if(vms.begin(), vms.end(), [&](const auto& entry) {
        const auto& [id, vm] = entry;
        return !vm->draining && !view.IsEvacuated(*vm) &&
               vm->HasLocalWeights(model) && !assigned.contains(id) &&
               !suspects_.contains(id) && !replaced_vms_.contains(id);
      }));
}

bool FleetController::CanReplaceLeavingMembers(const FleetView& view,
                                               const Domain& domain,
                                               const GroupRecord& group) const {
  std::size_t needed = CountUnusableMembers(view, group);
  for (const GroupRecord& other : domain.writer.record().groups) {
    const auto status = domain.group_statuses.find(other.id);
    if (other.model == group.model && status != domain.group_statuses.end() &&
        !status->second.end_reason.empty()) {
      needed += CountUnusableMembers(view, other);
    }
  }
  return CountStartableSpares(view, domain, group.model) >= needed;
}

bool FleetController::MayCloseAnotherGroup(const ServiceId& service,
                                           const ModelId& model) const {
  std::size_t total = 0;
  std::size_t closing = 0;
  for (const auto& [id, domain] : domains_) {
    if (domain.service != service) {
      continue;
    }
    for (const GroupRecord& group : domain.writer.record().groups) {
      if (group.model != model) {
        continue;
      }
      ++total;
      // Groups that lost members do not count: with a loss every few seconds
      // members would leave before their groups were closed.
      const auto status = domain.group_statuses.find(group.id);
      closing += status != domain.group_statuses.end() &&
                         status->second.is_planned_end &&
                         !status->second.end_reason.empty()
                     ? 1
                     : 0;
    }
  }
  const double allowed =
      std::max(1.0, settings_.max_closing_share * static_cast<double>(total));
  return static_cast<double>(closing) + 1 <= allowed;
}

bool FleetController::CanReplaceLoadingMembers(const FleetView& view,
                                               const Domain& domain,
                                               const GroupRecord& group) const {
  const auto loading = static_cast<std::size_t>(std::count_if(
      group.members.begin(), group.members.end(), [&](const VmId& member) {
        const VmRegistration* vm = view.FindVm(member);
        return vm != nullptr && !vm->HasLocalWeights(group.model);
      }));
  // The VMs of given-up groups are reserved for another model.
  return loading > 0 && domain.regroup_target.empty() &&
         CountStartableSpares(view, domain, group.model) >= loading;
}

bool FleetController::HasLeft(const FleetView& view,
                              const GroupRecord& group,
                              const GroupStatus& status,
                              const VmId& member) const {
  if (status.left_members.contains(member)) {
    return true;
  }
  // A registration without the group may be older than the order to join it,
  // and the VM may be a member by now. Only its answer to an order to leave
  // counts then.
  if (status.join_ordered.contains(member) && !status.joined.contains(member)) {
    return false;
  }
  const VmRegistration* vm = view.FindVm(member);
  // A delayed order for this group finds no such group at the VM's engine.
  return vm != nullptr && (!IsMemberOf(*vm, group) ||
                           vm->membership->phase == MemberPhase::kBroken);
}

bool FleetController::HasEnded(const FleetView& view,
                               const GroupRecord& group,
                               const GroupStatus& status) const {
  if (HasLeft(view, group, status, group.members.front())) {
    return true;
  }
  // The first member may be cut off and still serve; the other members are free
  // once each has left. A member that is gone or unresponsive is put into no
  // group, and is ordered to leave when it comes back.
  return std::all_of(
      group.members.begin() + 1, group.members.end(), [&](const VmId& member) {
        return view.FindVm(member) == nullptr || IsUnresponsive(member) ||
               HasLeft(view, group, status, member);
      });
}

void FleetController::RemoveEnded(Time now,
                                  const FleetView& view,
                                  Domain& domain,
                                  DomainRecord& next_record) {
  std::erase_if(next_record.groups, [&](const GroupRecord& group) {
    GroupStatus& status = domain.group_statuses[group.id];
    if (status.end_reason.empty() || !HasEnded(view, group, status)) {
      return false;
    }
    if (HasLeft(view, group, status, group.members.front())) {
      ended_groups_.insert(group.id);
    }
    ReportGroupEvent(EventKind::kGroupDissolved, group,
                     {{"reason", status.end_reason},
                      {"after_ms", (now - status.end_started).millis()}});
    return true;
  });
}

bool FleetController::MayJoinNewGroup(Time now, const VmRegistration& vm) {
  const GroupMembership& old = *vm.membership;
  if (old.phase == MemberPhase::kJoining || old.phase == MemberPhase::kBroken ||
      ended_groups_.contains(old.group) ||
      left_groups_.contains({vm.id, old.group})) {
    return true;
  }
  if (MayOrder(now, vm.id, GroupOrderKind::kLeave, old.group)) {
    GroupOrder order;
    order.kind = GroupOrderKind::kLeave;
    order.group = old.group;
    order.generation = old.generation;
    SendOrder(now, vm.id, vm.address, std::move(order));
  }
  return false;
}

}  // namespace gcw
