#include <algorithm>
#include <utility>

#include "coordination/configuration/record_changes.h"
#include "coordination/groups/domain_reconciler.h"

namespace gcw {

std::vector<SendOrder> DomainReconciler::DueOrders(Time now,
                                                   const VmTracker& tracker,
                                                   OrderId& last_order) {
  std::vector<SendOrder> orders;
  // The committed record is unknown while a write is in progress or unsettled.
  if (writer_.state() != WriterState::kReady || !writer_.IsClaimed() ||
      !order_sender_.MaySend(now)) {
    return orders;
  }
  for (const auto& [vm, facts] : tracker.all()) {
    if (!MayOrder(now, facts)) {
      continue;
    }
    std::optional<EngineOrder> order = OrderFor(tracker, facts);
    if (!order) {
      continue;
    }
    ++last_order;
    events_({EventKind::kOrderSent,
             vm.value(),
             EventId(),
             {{"group", order->group.value()},
              {"generation", order->generation.value()}}});
    orders.push_back(order_sender_.Send(last_order, vm, facts.entry.address,
                                        *std::move(order)));
  }
  return orders;
}

// A VM gets its next order only after a probe has shown the result of the
// previous one.
bool DomainReconciler::MayOrder(Time now, const VmFacts& facts) const {
  const VmId& vm = facts.entry.id;
  return facts.entry.domain == domain_ &&
         facts.entry.purpose == VmPurpose::kModelEngine && facts.status &&
         !facts.failing_since && !order_sender_.IsPending(now, vm) &&
         facts.status_time >= order_sender_.SettledAt(vm) &&
         facts.status_time >= order_sender_.earliest_order_time();
}

void DomainReconciler::OnOrderReply(Time now,
                                    OrderId id,
                                    const OrderReply& reply) {
  const std::optional<VmId> vm = order_sender_.OnReply(now, id, reply);
  if (!vm) {
    return;
  }
  if (const auto* stale = std::get_if<EngineOrderStale>(&reply)) {
    // Another controller has taken over, or the key-value service was restored
    // and issues fencing tokens that it issued before.
    events_({EventKind::kOrderRefused,
             vm->value(),
             EventId(),
             {{"seen", stale->seen.value()}}});
  } else if (std::holds_alternative<OrderWithheld>(reply)) {
    events_({EventKind::kOrderWithheld, vm->value(), EventId(), {}});
  }
}

std::optional<EngineOrder> DomainReconciler::OrderFor(
    const VmTracker& tracker,
    const VmFacts& facts) const {
  const EngineStatus& status = *facts.status;
  const GroupRecord* group = FindGroupOf(writer_.record(), facts.entry.id);
  if (group != nullptr) {
    return OrderForMember(tracker, *group, status);
  }
  if (status.group.empty()) {
    return std::nullopt;
  }
  return MakeLeaveOrder(status);
}

std::optional<EngineOrder> DomainReconciler::OrderForMember(
    const VmTracker& tracker,
    const GroupRecord& group,
    const EngineStatus& status) const {
  const bool is_in_other_group =
      !status.group.empty() && status.group != group.id;
  const bool is_in_later_generation =
      status.group == group.id && status.generation > group.generation;
  const bool is_in_generation =
      status.group == group.id && status.generation == group.generation;
  const bool has_failed =
      status.state == EngineState::kFailed && !status.group.empty();
  if (is_in_other_group || is_in_later_generation || has_failed) {
    return MakeLeaveOrder(status);
  }
  if (group.state == GroupState::kLoading && !is_in_generation) {
    return MakeOrder(tracker, EngineOrderKind::kLoad, group);
  }
  if (group.state == GroupState::kDraining && is_in_generation &&
      status.vm == group.members.front() &&
      status.state == EngineState::kReady) {
    return MakeOrder(tracker, EngineOrderKind::kDrain, group);
  }
  return std::nullopt;
}

EngineOrder DomainReconciler::MakeOrder(const VmTracker& tracker,
                                        EngineOrderKind kind,
                                        const GroupRecord& group) const {
  EngineOrder order;
  order.kind = kind;
  order.group = group.id;
  order.model = group.model;
  order.generation = group.generation;
  order.change = writer_.record().change;
  for (const VmId& vm : group.members) {
    const VmFacts* facts = tracker.Find(vm);
    order.members.push_back(
        GroupMember{vm, facts == nullptr ? Address() : facts->entry.address});
  }
  return order;
}

EngineOrder DomainReconciler::MakeLeaveOrder(const EngineStatus& status) const {
  EngineOrder order;
  order.kind = EngineOrderKind::kLeave;
  order.group = status.group;
  order.model = status.model;
  order.generation = status.generation;
  order.change = writer_.record().change;
  return order;
}

void DomainReconciler::SetProbeRates(VmTracker& tracker) const {
  std::map<VmId, ProbeRate> rates;
  for (const GroupRecord& group : writer_.record().groups) {
    const VmFacts* first = tracker.Find(group.members.front());
    const bool is_steady = group.state == GroupState::kServing;
    for (const VmId& vm : group.members) {
      rates[vm] = is_steady ? ProbeRate::kIdle : ProbeRate::kFast;
    }
    if (!is_steady) {
      continue;
    }
    rates[group.members.front()] = ProbeRate::kFirstMember;
    if (first == nullptr || !first->status ||
        first->status->group != group.id) {
      continue;
    }
    // The first VM notices a missing member sooner than a probe at the idle
    // interval would.
    const std::vector<VmId>& seen = first->status->members_seen;
    for (const VmId& vm : group.members) {
      if (std::find(seen.begin(), seen.end(), vm) == seen.end()) {
        rates[vm] = ProbeRate::kFast;
      }
    }
  }
  for (const auto& [vm, facts] : tracker.all()) {
    if (facts.entry.domain != domain_) {
      continue;
    }
    const auto it = rates.find(vm);
    ProbeRate rate = it == rates.end() ? ProbeRate::kIdle : it->second;
    const bool is_unrecorded_member =
        it == rates.end() && facts.status && !facts.status->group.empty();
    if (is_unrecorded_member || (it != rates.end() && facts.failing_since) ||
        IsMemberOrLeaving(writer_.record(), vm) != (it != rates.end())) {
      rate = ProbeRate::kFast;
    }
    tracker.SetProbeRate(vm, rate);
  }
}

}  // namespace gcw
