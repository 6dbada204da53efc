// Orders to engines and the handling of their answers.

#include "coordination/gateway/fleet_controller.h"

#include <algorithm>
#include <utility>

#include "coordination/gateway/group_membership.h"

namespace gcw {

void FleetController::OrderGroup(Time now,
                                 const FleetView& view,
                                 Domain& domain,
                                 const GroupRecord& group) {
  const auto found = domain.group_statuses.find(group.id);
  if (found == domain.group_statuses.end()) {
    return;
  }
  GroupStatus& status = found->second;
  if (!status.end_reason.empty()) {
    OrderEnd(now, view, group, status);
    return;
  }
  // A group that is still being formed there would serve nobody.
  if (IsEvacuated(view, group)) {
    return;
  }
  OrderJoins(now, view, domain, group, status);
}

void FleetController::OrderJoins(Time now,
                                 const FleetView& view,
                                 const Domain& domain,
                                 const GroupRecord& group,
                                 GroupStatus& status) {
  const ModelProfile* profile =
      FindModelProfile(view, domain.service, group.model);
  bool all_ready = true;
  for (const VmId& member : group.members) {
    const VmRegistration* vm = view.FindVm(member);
    if (vm == nullptr) {
      all_ready = false;
      continue;
    }
    if (IsMemberOf(*vm, group)) {
      all_ready = all_ready && vm->membership->phase != MemberPhase::kJoining;
      continue;
    }
    all_ready = false;
    if (!MayOrder(now, member, GroupOrderKind::kJoin, group.id)) {
      continue;
    }
    if (!vm->HasLocalWeights(group.model) && profile != nullptr &&
        !MayJoinWithoutWeights(now, *vm, *profile)) {
      continue;
    }
    GroupOrder order;
    order.kind = GroupOrderKind::kJoin;
    order.group = group.id;
    order.generation = group.generation;
    order.model = group.model;
    order.members = group.members;
    status.join_ordered.insert(member);
    SendOrder(now, member, vm->address, std::move(order));
  }
  const VmId& head = group.members.front();
  if (!all_ready) {
    return;
  }
  const VmRegistration* vm = view.FindVm(head);
  // Only the controller checks that all members are ready. A group that opened
  // without one of them would take requests that it cannot run.
  if (vm->membership->phase != MemberPhase::kReady ||
      !MayOrder(now, head, GroupOrderKind::kOpen, group.id)) {
    return;
  }
  GroupOrder order;
  order.kind = GroupOrderKind::kOpen;
  order.group = group.id;
  order.generation = group.generation;
  order.model = group.model;
  status.open_ordered = true;
  SendOrder(now, head, vm->address, std::move(order));
}

// A load that is part of a join is lost when the group is given up for another
// member, as happens when VMs are lost one after another. The next join starts
// the load again, and the weight store still counts the old one: in one case
// the group served after 26 s instead of 16 s. A load onto the host continues
// whatever happens to the group; the join waits for it and then takes the warm
// start time in addition. Before the first request loads are quick, and the
// warm start time would be the larger part.
bool FleetController::MayJoinWithoutWeights(Time now,
                                            const VmRegistration& vm,
                                            const ModelProfile& model) {
  if (!load_pacer_.TryBegin(now, vm.id, model.load_time)) {
    return false;
  }
  const auto staging = staging_models_.find(vm.id);
  if (!load_pacer_.has_traffic() || refused_staging_vms_.contains(vm.id) ||
      (staging != staging_models_.end() && staging->second == model.model)) {
    return true;
  }
  if (MayOrder(now, vm.id, GroupOrderKind::kStage, GroupId())) {
    OrderStaging(now, vm, model.model);
  }
  return false;
}

void FleetController::OrderEnd(Time now,
                               const FleetView& view,
                               const GroupRecord& group,
                               GroupStatus& status) {
  const VmId& head = group.members.front();
  const VmRegistration* vm = view.FindVm(head);
  const bool is_head_reachable =
      vm != nullptr && IsMemberOf(*vm, group) && !IsUnresponsive(head);
  if (!is_head_reachable) {
    for (const VmId& member : group.members) {
      OrderLeave(now, view, group, status, member);
    }
    return;
  }
  const MemberPhase phase = vm->membership->phase;
  const bool may_drain =
      status.is_planned_end &&
      (phase == MemberPhase::kOpen || phase == MemberPhase::kClosing) &&
      now - status.end_started < (status.is_regrouped
                                      ? settings_.regroup_drain_timeout
                                      : settings_.drain_timeout);
  if (!may_drain) {
    OrderLeave(now, view, group, status, head);
    return;
  }
  if (phase == MemberPhase::kOpen &&
      MayOrder(now, head, GroupOrderKind::kClose, group.id)) {
    GroupOrder order;
    order.kind = GroupOrderKind::kClose;
    order.group = group.id;
    order.generation = group.generation;
    SendOrder(now, head, vm->address, std::move(order));
  }
}

void FleetController::OrderLeave(Time now,
                                 const FleetView& view,
                                 const GroupRecord& group,
                                 const GroupStatus& status,
                                 const VmId& member) {
  const VmRegistration* vm = view.FindVm(member);
  if (vm == nullptr || IsUnresponsive(member) ||
      HasLeft(view, group, status, member) ||
      !MayOrder(now, member, GroupOrderKind::kLeave, group.id)) {
    return;
  }
  GroupOrder order;
  order.kind = GroupOrderKind::kLeave;
  order.group = group.id;
  order.generation = group.generation;
  SendOrder(now, member, vm->address, std::move(order));
}

void FleetController::OrderStagings(Time now, const FleetView& view) {
  for (const auto& [id, domain] : domains_) {
    for (const PlannedStaging& staging : domain.stagings) {
      OrderPlannedStaging(now, view, staging);
    }
  }
  for (const VmId& id : load_pacer_.RunningLoads()) {
    const VmRegistration* vm = view.FindVm(id);
    const auto staging = staging_models_.find(id);
    if (vm != nullptr &&
        (staging == staging_models_.end() ? !vm->staged.empty()
                                          : vm->HasStaged(staging->second))) {
      load_pacer_.End(id);
    }
  }
  std::erase_if(staging_models_, [&](const auto& staging) {
    const bool is_expired = !load_pacer_.IsLoading(staging.first);
    if (is_expired) {
      ScheduleReview(staging.first);
    }
    return is_expired;
  });
}

void FleetController::OrderPlannedStaging(Time now,
                                          const FleetView& view,
                                          const PlannedStaging& staging) {
  const VmRegistration* vm = view.FindVm(staging.vm);
  if (vm == nullptr || vm->HasStaged(staging.model) ||
      !MayOrder(now, staging.vm, GroupOrderKind::kStage, GroupId())) {
    return;
  }
  const ModelProfile* profile =
      FindModelProfile(view, vm->service, staging.model);
  if (profile == nullptr || load_pacer_.IsLoading(staging.vm) ||
      !load_pacer_.TryBegin(now, staging.vm, profile->load_time,
                            staging.purpose == StagingPurpose::kStandby
                                ? LoadPriority::kStandby
                                : LoadPriority::kUrgent)) {
    return;
  }
  OrderStaging(now, *vm, staging.model);
}

void FleetController::OrderStaging(Time now,
                                   const VmRegistration& vm,
                                   const ModelId& model) {
  GroupOrder order;
  order.kind = GroupOrderKind::kStage;
  order.model = model;
  staging_models_[vm.id] = model;
  ScheduleReview(vm.id);
  SendOrder(now, vm.id, vm.address, std::move(order));
}

bool FleetController::MayOrder(Time now,
                               const VmId& vm,
                               GroupOrderKind kind,
                               const GroupId& group) const {
  if (pending_order_ids_.contains(vm)) {
    return false;
  }
  const auto last = last_orders_.find(vm);
  if (last == last_orders_.end() || last->second.kind != kind ||
      last->second.group != group) {
    return true;
  }
  return now - last->second.sent >= settings_.resend_interval;
}

void FleetController::SendOrder(Time now,
                                const VmId& vm,
                                const Address& address,
                                GroupOrder order) {
  order.fence = role_->fence;
  ++last_order_id_;
  last_orders_[vm] = {order.kind, order.group, now};
  pending_order_ids_[vm] = last_order_id_;
  pending_orders_[last_order_id_] = {vm, address, order, now};
  events_({EventKind::kOrderSent,
           vm.value(),
           {},
           {{"order", std::string(GroupOrderKindName(order.kind))},
            {"group", order.group.value()},
            {"model", order.model.value()},
            {"fence", order.fence.value()}}});
  actions_.emplace_back(SendGroupOrder{
      last_order_id_, vm, address, std::move(order), settings_.order_timeout});
}

void FleetController::ExpireOrders(Time now) {
  std::erase_if(pending_orders_, [&](const auto& pending) {
    const bool is_expired =
        now - pending.second.sent >= settings_.order_timeout * 2;
    if (is_expired) {
      pending_order_ids_.erase(pending.second.vm);
    }
    return is_expired;
  });
}

void FleetController::OnOrderReply(Time now,
                                   OrderId id,
                                   GroupOrderResult result) {
  const auto found = pending_orders_.find(id);
  if (found == pending_orders_.end()) {
    return;
  }
  const PendingOrder pending = found->second;
  ScheduleReview(pending.vm);
  pending_orders_.erase(found);
  pending_order_ids_.erase(pending.vm);
  if (result != GroupOrderResult::kStarted &&
      result != GroupOrderResult::kDone) {
    events_({EventKind::kOrderRefused,
             pending.vm.value(),
             {},
             {{"order", std::string(GroupOrderKindName(pending.order.kind))},
              {"group", pending.order.group.value()},
              {"verdict", std::string(GroupOrderResultName(result))},
              {"after_ms", (now - pending.sent).millis()}}});
    if (pending.order.kind == GroupOrderKind::kJoin ||
        pending.order.kind == GroupOrderKind::kStage) {
      load_pacer_.End(pending.vm);
    }
    if (pending.order.kind == GroupOrderKind::kStage &&
        result != GroupOrderResult::kNoAnswer &&
        result != GroupOrderResult::kUnreachable) {
      refused_staging_vms_.insert(pending.vm);
    }
  }
  if (result == GroupOrderResult::kNoAnswer ||
      result == GroupOrderResult::kUnreachable) {
    SuspectVm(now, pending.vm, pending.address);
  }
  // Another run has the VM's address, so this run is gone, although delayed
  // heartbeats may keep its registration for seconds. Group after group would
  // wait for it. A probe cannot detect this, because the other run answers it.
  if (result == GroupOrderResult::kWrongVm) {
    replaced_vms_[pending.vm] = pending.address;
  }
  if (result == GroupOrderResult::kStale &&
      pending.order.kind != GroupOrderKind::kJoin) {
    fenced_off_ = true;
    return;
  }
  if (pending.order.kind != GroupOrderKind::kLeave ||
      result == GroupOrderResult::kNoAnswer ||
      result == GroupOrderResult::kUnreachable ||
      result == GroupOrderResult::kRefused) {
    return;
  }
  // The engine has left, is in no such group, or another VM has the address. A
  // load that was part of the join ended with it; if it still counted, the VM
  // would get no other load. A load onto the host continues.
  if (!staging_models_.contains(pending.vm)) {
    load_pacer_.End(pending.vm);
  }
  left_groups_.emplace(pending.vm, pending.order.group);
  for (auto& [domain_id, domain] : domains_) {
    const auto status = domain.group_statuses.find(pending.order.group);
    if (status != domain.group_statuses.end()) {
      status->second.left_members.insert(pending.vm);
    }
  }
}

}  // namespace gcw
