// Decides which groups have to end, when they have ended, and which VMs are
// free again.

#include "coordination/gateway/fleet_keeper.h"

#include <algorithm>
#include <utility>

#include "coordination/gateway/group_membership.h"

namespace gcw {

void FleetKeeper::ReviewGroups(Time now,
                               const FleetView& view,
                               Domain& domain) {
  std::set<GroupId> recorded;
  for (const GroupRecord& group : domain.writer.record().groups) {
    recorded.insert(group.id);
    const auto [it, is_new] = domain.runs.try_emplace(group.id);
    GroupRun& run = it->second;
    if (is_new) {
      run.since = now;
    }
    for (const VmId& member : group.members) {
      const VmRegistration* vm = view.FindVm(member);
      if (vm == nullptr) {
        continue;
      }
      run.addresses[member] = vm->address;
      if (!IsMemberOf(*vm, group)) {
        continue;
      }
      run.joined.insert(member);
      const MemberPhase phase = vm->membership->phase;
      // A load onto the host continues while the VM serves.
      if (phase != MemberPhase::kJoining && !staging_.contains(member)) {
        loads_.End(member);
      }
      if (phase == MemberPhase::kOpen && !run.open_seen) {
        run.open_seen = true;
        Report(EventKind::kGroupServing, group,
               {{"after_ms", (now - run.since).millis()}});
      }
    }
    if (!run.ending.empty()) {
      continue;
    }
    const VmId& head = group.members.front();
    if (standstills_.erase({head, group.generation}) > 0 &&
        !run.stands_still_since) {
      run.stands_still_since = now;
      DoubtMembers(now, group, run);
    }
    run.ending = FindDamage(now, view, domain, group, run);
    if (run.ending.empty()) {
      continue;
    }
    run.ending_since = now;
    // The member that caused the damage must not join the next group, so all
    // members are probed.
    if (!run.ends_by_plan && !run.stands_still_since) {
      DoubtMembers(now, group, run);
    }
    Report(EventKind::kGroupClosed, group, {{"reason", run.ending}});
  }
  std::erase_if(domain.runs,
                [&](const auto& run) { return !recorded.contains(run.first); });
}

bool FleetKeeper::IsOpen(const FleetView& view, const GroupRecord& group) {
  const VmRegistration* head = view.FindVm(group.members.front());
  return head != nullptr && IsMemberOf(*head, group) &&
         head->membership->phase == MemberPhase::kOpen;
}

std::string FleetKeeper::FindDamage(Time now,
                                    const FleetView& view,
                                    const Domain& domain,
                                    const GroupRecord& group,
                                    GroupRun& run) const {
  const VmId& head = group.members.front();
  // A member that is cut off from the key-value service loses its registration
  // but continues to run. Closing its group would also lose the work of the
  // other members.
  const bool goes_on =
      now - last_progress_(head, group.generation) < settings_.progress_life;
  for (const VmId& member : group.members) {
    const VmRegistration* vm = view.FindVm(member);
    if (vm == nullptr && goes_on && member != head) {
      continue;
    }
    if (vm == nullptr) {
      return "member_lost:" + member.value();
    }
    if (IsSilent(member)) {
      return "member_silent:" + member.value();
    }
    // A member that drains stays while its group has work. Without a spare to
    // replace it, closing the group now would only end its service sooner.
    if (vm->draining && member != head && run.open_seen &&
        CountFreeWith(view, domain, group.model) == 0) {
      continue;
    }
    if (vm->draining) {
      run.ends_by_plan = true;
      return "member_leaving:" + member.value();
    }
    if (!IsMemberOf(*vm, group)) {
      // All members had joined before the group opened. Joining an open group
      // again would not make the group whole, and would bind the member to it.
      if (run.joined.contains(member) || IsOpen(view, group)) {
        return "member_elsewhere:" + member.value();
      }
      continue;
    }
    if (vm->membership->phase == MemberPhase::kBroken) {
      return "broken:" + member.value();
    }
  }
  if (!run.open_seen && now - run.since >= settings_.form_limit) {
    return "not_formed";
  }
  if (run.stands_still_since) {
    std::string reason = JudgeStandstill(now, view, domain, group, run);
    if (!reason.empty()) {
      return reason;
    }
  }
  if (!run.open_seen && !run.open_sent &&
      OpensSoonerAnew(view, domain, group)) {
    return "better_member";
  }
  return {};
}

std::string FleetKeeper::JudgeStandstill(Time now,
                                         const FleetView& view,
                                         const Domain& domain,
                                         const GroupRecord& group,
                                         GroupRun& run) const {
  std::size_t slow = 0;
  for (const VmId& member : group.members) {
    if (IsUnclear(member)) {
      return {};
    }
    slow += IsSlow(member) ? 1 : 0;
  }
  // A slow group still serves. It is closed only if healthy VMs can replace its
  // slow members: forming it again of the same members would cut its streams
  // for nothing.
  if (slow > 0) {
    if (CountFreeWith(view, domain, group.model) >= slow) {
      return "member_slow";
    }
    run.stands_still_since.reset();
    return {};
  }
  const VmId& head = group.members.front();
  if (last_progress_(head, group.generation) > *run.stands_still_since) {
    run.stands_still_since.reset();
    return {};
  }
  return now - *run.stands_still_since >= settings_.standstill_patience
             ? "stands_still"
             : std::string();
}

std::size_t FleetKeeper::CountFreeWith(const FleetView& view,
                                       const Domain& domain,
                                       const ModelId& model) const {
  std::set<VmId> taken;
  for (const GroupRecord& group : domain.writer.record().groups) {
    taken.insert(group.members.begin(), group.members.end());
  }
  const DomainVms& vms = view.VmsOf(domain.writer.record().domain);
  return static_cast<std::size_t>(
      std::count_if(vms.begin(), vms.end(), [&](const auto& entry) {
        const auto& [id, vm] = entry;
        return !vm->draining && vm->HasAtHand(model) && !taken.contains(id) &&
               !doubts_.contains(id) && !replaced_.contains(id);
      }));
}

bool FleetKeeper::OpensSoonerAnew(const FleetView& view,
                                  const Domain& domain,
                                  const GroupRecord& group) const {
  const auto loading = static_cast<std::size_t>(std::count_if(
      group.members.begin(), group.members.end(), [&](const VmId& member) {
        const VmRegistration* vm = view.FindVm(member);
        return vm != nullptr && !vm->HasAtHand(group.model);
      }));
  // The VMs of given-up groups are reserved for another model.
  return loading > 0 && domain.regroups_for.empty() &&
         CountFreeWith(view, domain, group.model) >= loading;
}

bool FleetKeeper::HasLeft(const FleetView& view,
                          const GroupRecord& group,
                          const GroupRun& run,
                          const VmId& member) const {
  if (run.left.contains(member)) {
    return true;
  }
  // A registration without the group may be older than the order to join it,
  // and the VM may be a member by now. Only its answer to an order to leave
  // counts then.
  if (run.join_sent.contains(member) && !run.joined.contains(member)) {
    return false;
  }
  const VmRegistration* vm = view.FindVm(member);
  // A delayed order for this group finds no such group at the VM's engine.
  return vm != nullptr && (!IsMemberOf(*vm, group) ||
                           vm->membership->phase == MemberPhase::kBroken);
}

bool FleetKeeper::IsOver(const FleetView& view,
                         const GroupRecord& group,
                         const GroupRun& run) const {
  if (HasLeft(view, group, run, group.members.front())) {
    return true;
  }
  // The first member may be cut off and still serve; the other members are free
  // once each has left. A member that is gone or unresponsive is put into no
  // group, and is ordered to leave when it comes back.
  return std::all_of(
      group.members.begin() + 1, group.members.end(), [&](const VmId& member) {
        return view.FindVm(member) == nullptr || IsSilent(member) ||
               HasLeft(view, group, run, member);
      });
}

void FleetKeeper::RemoveOver(Time now,
                             const FleetView& view,
                             Domain& domain,
                             DomainRecord& next) {
  std::erase_if(next.groups, [&](const GroupRecord& group) {
    GroupRun& run = domain.runs[group.id];
    if (run.ending.empty() || !IsOver(view, group, run)) {
      return false;
    }
    if (HasLeft(view, group, run, group.members.front())) {
      ended_.insert(group.id);
    }
    Report(EventKind::kGroupDissolved, group,
           {{"reason", run.ending},
            {"after_ms", (now - run.ending_since).millis()}});
    return true;
  });
}

bool FleetKeeper::IsFreeOfOldGroup(Time now, const VmRegistration& vm) {
  const GroupMembership& old = *vm.membership;
  if (old.phase == MemberPhase::kJoining || old.phase == MemberPhase::kBroken ||
      ended_.contains(old.group) || left_.contains({vm.id, old.group})) {
    return true;
  }
  if (MayOrder(now, vm.id, GroupOrderKind::kLeave, old.group)) {
    GroupOrder order;
    order.kind = GroupOrderKind::kLeave;
    order.group = old.group;
    order.generation = old.generation;
    Send(now, vm.id, vm.address, std::move(order));
  }
  return false;
}

}  // namespace gcw
