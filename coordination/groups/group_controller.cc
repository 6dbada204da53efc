#include "coordination/groups/group_controller.h"

#include <set>
#include <utility>

#include "coordination/configuration/record_changes.h"

namespace gcw {

GroupController::Builder& GroupController::Builder::SetZone(ZoneId zone) {
  zone_ = std::move(zone);
  return *this;
}

GroupController::Builder& GroupController::Builder::SetSettings(
    GroupControllerSettings settings) {
  settings_ = settings;
  return *this;
}

GroupController::Builder& GroupController::Builder::SetCodec(
    DomainRecordCodec codec) {
  codec_ = std::move(codec);
  return *this;
}

GroupController::Builder& GroupController::Builder::SetEventSink(
    EventSink events) {
  events_ = std::move(events);
  return *this;
}

GroupController GroupController::Builder::Build() const {
  return GroupController(zone_, settings_, codec_, events_);
}

GroupController::GroupController(ZoneId zone,
                                 GroupControllerSettings settings,
                                 DomainRecordCodec codec,
                                 EventSink events)
    : zone_(std::move(zone)),
      settings_(settings),
      codec_(std::move(codec)),
      events_(std::move(events)),
      tracker_(settings.tracker),
      flap_tracker_(settings.flap),
      planner_(settings.planner) {}

void GroupController::OnRoleHeld(Time now,
                                 const FabricDomainId& domain,
                                 FencingToken fence,
                                 Time valid_until) {
  auto it = reconcilers_.find(domain);
  if (it == reconcilers_.end()) {
    it = reconcilers_
             .emplace(domain,
                      DomainReconciler(domain, settings_,
                                       DomainWriter(domain, settings_.writer,
                                                    codec_, events_),
                                       events_))
             .first;
  }
  it->second.OnRoleHeld(now, fence, valid_until);
}

void GroupController::OnRoleLost(const FabricDomainId& domain) {
  reconcilers_.erase(domain);
}

void GroupController::OnVmList(Time now, const VmListSnapshot& snapshot) {
  tracker_.OnVmList(now, snapshot);
}

void GroupController::OnDomainRecord(const DomainRecord& record,
                                     Revision revision) {
  OtherRecord& other = other_records_[record.domain];
  if (revision > other.revision) {
    other = OtherRecord{record, revision};
  }
}

void GroupController::OnDesiredModels(
    std::vector<DesiredModel> desired_models) {
  desired_models_ = std::move(desired_models);
}

void GroupController::OnWeightStoreWait(Duration wait) {
  load_wait_ = wait;
}

void GroupController::OnDrainRequested(const GroupId& group) {
  requested_drains_.insert(group);
}

void GroupController::OnProbeReply(Time now,
                                   ProbeId id,
                                   const ProbeReply& reply) {
  tracker_.OnProbeReply(now, id, reply);
}

std::vector<GroupControllerAction> GroupController::OnStoreReply(
    Time now,
    StoreCallId id,
    const StoreReply& reply) {
  std::vector<GroupControllerAction> actions;
  for (auto& [domain, reconciler] : reconcilers_) {
    if (reconciler.OnStoreReply(now, id, reply)) {
      const DomainWriter& writer = reconciler.writer();
      OnDomainRecord(writer.record(), writer.revision());
      actions.emplace_back(RecordCommitted{writer.record(), writer.revision()});
    }
  }
  return actions;
}

void GroupController::OnOrderReply(Time now,
                                   OrderId id,
                                   const OrderReply& reply) {
  for (auto& [domain, reconciler] : reconcilers_) {
    reconciler.OnOrderReply(now, id, reply);
  }
}

std::vector<GroupControllerAction> GroupController::Tick(Time now) {
  std::vector<GroupControllerAction> actions;
  RecordLosses(now);
  ReconcileAll(now);
  CollectCalls(now, actions);
  CollectOrders(now, actions);
  std::set<FabricDomainId> domains;
  for (const auto& [domain, reconciler] : reconcilers_) {
    domains.insert(domain);
    reconciler.SetProbeRates(tracker_);
  }
  tracker_.SetDomains(domains);
  for (ProbeVm& probe : tracker_.Tick(now)) {
    actions.emplace_back(std::move(probe));
  }
  return actions;
}

const DomainRecord* GroupController::RecordOf(
    const FabricDomainId& domain) const {
  const auto it = reconcilers_.find(domain);
  if (it == reconcilers_.end() ||
      it->second.writer().revision() == Revision()) {
    return nullptr;
  }
  return &it->second.writer().record();
}

// Reports each loss of a VM once: it became unreachable, or it restarted
// without having been seen as unreachable.
void GroupController::RecordLosses(Time now) {
  flap_tracker_.Tick(now);
  for (const auto& [vm, facts] : tracker_.all()) {
    const bool is_unreachable = tracker_.IsUnreachable(now, vm);
    if (is_unreachable && unreachable_.insert(vm).second) {
      flap_tracker_.OnLost(now, vm);
      events_({EventKind::kVmLost, vm.value(), EventId(), {}});
    }
    if (!facts.status) {
      continue;
    }
    const auto known = incarnations_.find(vm);
    const bool has_restarted = known != incarnations_.end() &&
                               known->second != facts.status->incarnation;
    if (has_restarted && !unreachable_.contains(vm)) {
      flap_tracker_.OnLost(now, vm);
      events_({EventKind::kVmLost, vm.value(), EventId(), {}});
    }
    incarnations_[vm] = facts.status->incarnation;
    if (!is_unreachable) {
      unreachable_.erase(vm);
    }
  }
}

void GroupController::ReconcileAll(Time now) {
  std::map<FabricDomainId, std::vector<RepairMove>> moves;
  if (now >= next_plan_) {
    next_plan_ = now + settings_.plan_interval;
    moves = PlanMoves(now);
  }
  for (auto& [domain, reconciler] : reconcilers_) {
    reconciler.Reconcile(now, tracker_, moves[domain]);
  }
}

std::map<FabricDomainId, std::vector<RepairMove>> GroupController::PlanMoves(
    Time now) {
  std::map<FabricDomainId, std::vector<RepairMove>> moves;
  for (RepairMove& move : planner_.Plan(now, MakeView(now))) {
    const FabricDomainId domain =
        std::visit([](const auto& typed) { return typed.domain; }, move);
    // A controller with the same information makes the same plan and carries
    // out the moves of its own domains.
    if (reconcilers_.contains(domain)) {
      moves[domain].push_back(std::move(move));
    }
  }
  return moves;
}

PlannerView GroupController::MakeView(Time now) const {
  PlannerView view;
  view.zone = zone_;
  view.desired_models = desired_models_;
  view.load_wait = load_wait_;
  view.requested_drains = requested_drains_;
  std::set<FabricDomainId> zone_domains;
  for (const auto& [vm, facts] : tracker_.all()) {
    if (facts.entry.purpose == VmPurpose::kModelEngine &&
        facts.entry.zone == zone_) {
      view.vms[vm] = DescribeVm(now, vm, facts);
      zone_domains.insert(facts.entry.domain);
    }
  }
  // Records of all zones arrive here. The planner looks up the VMs of each
  // record's domain, so a record of another zone, or one that came before the
  // VM list, would end the process.
  for (const auto& [domain, other] : other_records_) {
    if (zone_domains.contains(domain)) {
      view.records[domain] = other.record;
    }
  }
  for (const auto& [domain, reconciler] : reconcilers_) {
    if (zone_domains.contains(domain)) {
      view.records[domain] = reconciler.writer().record();
      view.drained.merge(reconciler.DrainedGroups(now, tracker_));
    }
  }
  return view;
}

PlannerVm GroupController::DescribeVm(Time now,
                                      const VmId& vm,
                                      const VmFacts& facts) const {
  PlannerVm described;
  described.domain = facts.entry.domain;
  described.accelerators = facts.entry.accelerators;
  described.held_off = flap_tracker_.IsHeldOff(now, vm);
  const auto reconciler = reconcilers_.find(facts.entry.domain);
  if (reconciler != reconcilers_.end()) {
    described.condition = reconciler->second.ConditionOf(now, tracker_, vm);
    described.assignable = reconciler->second.IsAssignable(now, tracker_, vm);
    return described;
  }
  // For VMs that another controller probes, only the list and the record are
  // known.
  const bool is_live = facts.listed && facts.entry.state == VmState::kLive;
  described.condition = is_live ? VmCondition::kHealthy : VmCondition::kLeaving;
  const auto other = other_records_.find(facts.entry.domain);
  described.assignable = is_live && other != other_records_.end() &&
                         !IsMemberOrLeaving(other->second.record, vm);
  return described;
}

void GroupController::CollectCalls(
    Time now,
    std::vector<GroupControllerAction>& actions) {
  for (auto& [domain, reconciler] : reconcilers_) {
    if (std::optional<StoreCall> call = reconciler.DueCall(now)) {
      ++last_call_;
      reconciler.OnCallSent(now, last_call_);
      actions.emplace_back(StoreRequest{last_call_, *std::move(call)});
    }
  }
}

void GroupController::CollectOrders(
    Time now,
    std::vector<GroupControllerAction>& actions) {
  for (auto& [domain, reconciler] : reconcilers_) {
    for (SendOrder& order : reconciler.DueOrders(now, tracker_, last_order_)) {
      actions.emplace_back(std::move(order));
    }
  }
}

}  // namespace gcw
