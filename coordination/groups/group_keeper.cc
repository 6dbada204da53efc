#include "coordination/groups/group_keeper.h"

#include <set>
#include <utility>

#include "coordination/configuration/record_changes.h"

namespace gcw {

GroupKeeper::Builder& GroupKeeper::Builder::SetZone(ZoneId zone) {
  zone_ = std::move(zone);
  return *this;
}

GroupKeeper::Builder& GroupKeeper::Builder::SetSettings(
    KeeperSettings settings) {
  settings_ = settings;
  return *this;
}

GroupKeeper::Builder& GroupKeeper::Builder::SetCodec(DomainRecordCodec codec) {
  codec_ = std::move(codec);
  return *this;
}

GroupKeeper::Builder& GroupKeeper::Builder::SetEventSink(EventSink events) {
  events_ = std::move(events);
  return *this;
}

GroupKeeper GroupKeeper::Builder::Build() const {
  return GroupKeeper(zone_, settings_, codec_, events_);
}

GroupKeeper::GroupKeeper(ZoneId zone,
                         KeeperSettings settings,
                         DomainRecordCodec codec,
                         EventSink events)
    : zone_(std::move(zone)),
      settings_(settings),
      codec_(std::move(codec)),
      events_(std::move(events)),
      tracker_(settings.tracker),
      flaps_(settings.flap),
      planner_(settings.planner) {}

void GroupKeeper::OnRoleHeld(Time now,
                             const FabricDomainId& domain,
                             FencingToken fence,
                             Time valid_until) {
  auto it = kept_.find(domain);
  if (it == kept_.end()) {
    it = kept_
             .emplace(domain, KeptDomain(domain, settings_,
                                         DomainWriter(domain, settings_.writer,
                                                      codec_, events_),
                                         events_))
             .first;
  }
  it->second.OnRoleHeld(now, fence, valid_until);
}

void GroupKeeper::OnRoleLost(const FabricDomainId& domain) {
  kept_.erase(domain);
}

void GroupKeeper::OnVmList(Time now, const VmListSnapshot& snapshot) {
  tracker_.OnVmList(now, snapshot);
}

void GroupKeeper::OnDomainRecord(const DomainRecord& record,
                                 Revision revision) {
  Foreign& foreign = foreign_[record.domain];
  if (revision > foreign.revision) {
    foreign = Foreign{record, revision};
  }
}

void GroupKeeper::OnWantedModels(std::vector<WantedModel> wanted) {
  wanted_ = std::move(wanted);
}

void GroupKeeper::OnWeightStoreWait(Duration wait) {
  load_wait_ = wait;
}

void GroupKeeper::OnDrainAsked(const GroupId& group) {
  drains_asked_.insert(group);
}

void GroupKeeper::OnProbeReply(Time now, ProbeId id, const ProbeReply& reply) {
  tracker_.OnProbeReply(now, id, reply);
}

std::vector<GroupKeeperAction>
GroupKeeper::OnStoreReply(Time now, StoreCallId id, const StoreReply& reply) {
  std::vector<GroupKeeperAction> actions;
  for (auto& [domain, kept] : kept_) {
    if (kept.OnStoreReply(now, id, reply)) {
      const DomainWriter& writer = kept.writer();
      OnDomainRecord(writer.record(), writer.revision());
      actions.emplace_back(RecordCommitted{writer.record(), writer.revision()});
    }
  }
  return actions;
}

void GroupKeeper::OnOrderReply(Time now, OrderId id, const OrderReply& reply) {
  for (auto& [domain, kept] : kept_) {
    kept.OnOrderReply(now, id, reply);
  }
}

std::vector<GroupKeeperAction> GroupKeeper::Tick(Time now) {
  std::vector<GroupKeeperAction> actions;
  NoteLosses(now);
  AdvanceAll(now);
  CollectCalls(now, actions);
  CollectOrders(now, actions);
  std::set<FabricDomainId> domains;
  for (const auto& [domain, kept] : kept_) {
    domains.insert(domain);
    kept.SetWatches(tracker_);
  }
  tracker_.SetDomains(domains);
  for (ProbeVm& probe : tracker_.Tick(now)) {
    actions.emplace_back(std::move(probe));
  }
  return actions;
}

const DomainRecord* GroupKeeper::RecordOf(const FabricDomainId& domain) const {
  const auto it = kept_.find(domain);
  if (it == kept_.end() || it->second.writer().revision() == Revision()) {
    return nullptr;
  }
  return &it->second.writer().record();
}

// Reports each loss of a VM once: it became unreachable, or it restarted
// without having been seen as unreachable.
void GroupKeeper::NoteLosses(Time now) {
  flaps_.Tick(now);
  for (const auto& [vm, facts] : tracker_.all()) {
    const bool is_unreachable = tracker_.IsUnreachable(now, vm);
    if (is_unreachable && unreachable_.insert(vm).second) {
      flaps_.OnLost(now, vm);
      events_({EventKind::kVmLost, vm.value(), EventId(), {}});
    }
    if (!facts.status) {
      continue;
    }
    const auto known = incarnations_.find(vm);
    const bool has_restarted = known != incarnations_.end() &&
                               known->second != facts.status->incarnation;
    if (has_restarted && !unreachable_.contains(vm)) {
      flaps_.OnLost(now, vm);
      events_({EventKind::kVmLost, vm.value(), EventId(), {}});
    }
    incarnations_[vm] = facts.status->incarnation;
    if (!is_unreachable) {
      unreachable_.erase(vm);
    }
  }
}

void GroupKeeper::AdvanceAll(Time now) {
  std::map<FabricDomainId, std::vector<RepairMove>> moves;
  if (now >= next_plan_) {
    next_plan_ = now + settings_.plan_interval;
    moves = PlanMoves(now);
  }
  for (auto& [domain, kept] : kept_) {
    kept.Advance(now, tracker_, moves[domain]);
  }
}

std::map<FabricDomainId, std::vector<RepairMove>> GroupKeeper::PlanMoves(
    Time now) {
  std::map<FabricDomainId, std::vector<RepairMove>> moves;
  for (RepairMove& move : planner_.Plan(now, MakeView(now))) {
    const FabricDomainId domain =
        std::visit([](const auto& typed) { return typed.domain; }, move);
    // A keeper with the same information makes the same plan and carries out
    // the moves of its own domains.
    if (kept_.contains(domain)) {
      moves[domain].push_back(std::move(move));
    }
  }
  return moves;
}

PlannerView GroupKeeper::MakeView(Time now) const {
  PlannerView view;
  view.zone = zone_;
  view.wanted = wanted_;
  view.load_wait = load_wait_;
  view.drains_asked = drains_asked_;
  std::set<FabricDomainId> zone_domains;
  for (const auto& [vm, facts] : tracker_.all()) {
    if (facts.entry.purpose == VmPurpose::kModelEngine &&
        facts.entry.zone == zone_) {
      view.vms[vm] = Describe(now, vm, facts);
      zone_domains.insert(facts.entry.domain);
    }
  }
  // Records of all zones arrive here. The planner looks up the VMs of each
  // record's domain, so a record of another zone, or one that came before the
  // VM list, would end the process.
  for (const auto& [domain, foreign] : foreign_) {
    if (zone_domains.contains(domain)) {
      view.records[domain] = foreign.record;
    }
  }
  for (const auto& [domain, kept] : kept_) {
    if (zone_domains.contains(domain)) {
      view.records[domain] = kept.writer().record();
      view.drained.merge(kept.DrainedGroups(now, tracker_));
    }
  }
  return view;
}

PlannerVm GroupKeeper::Describe(Time now,
                                const VmId& vm,
                                const VmFacts& facts) const {
  PlannerVm described;
  described.domain = facts.entry.domain;
  described.accelerators = facts.entry.accelerators;
  described.held_off = flaps_.IsHeldOff(now, vm);
  const auto kept = kept_.find(facts.entry.domain);
  if (kept != kept_.end()) {
    described.condition = kept->second.ConditionOf(now, tracker_, vm);
    described.assignable = kept->second.IsAssignable(now, tracker_, vm);
    return described;
  }
  // For VMs that another keeper probes, only the list and the record are known.
  const bool is_live = facts.listed && facts.entry.state == VmState::kLive;
  described.condition = is_live ? VmCondition::kHealthy : VmCondition::kLeaving;
  const auto foreign = foreign_.find(facts.entry.domain);
  described.assignable = is_live && foreign != foreign_.end() &&
                         !IsRecorded(foreign->second.record, vm);
  return described;
}

void GroupKeeper::CollectCalls(Time now,
                               std::vector<GroupKeeperAction>& actions) {
  for (auto& [domain, kept] : kept_) {
    if (std::optional<StoreCall> call = kept.DueCall(now)) {
      ++last_call_;
      kept.OnCallSent(now, last_call_);
      actions.emplace_back(StoreRequest{last_call_, *std::move(call)});
    }
  }
}

void GroupKeeper::CollectOrders(Time now,
                                std::vector<GroupKeeperAction>& actions) {
  for (auto& [domain, kept] : kept_) {
    for (SendOrder& order : kept.DueOrders(now, tracker_, last_order_)) {
      actions.emplace_back(std::move(order));
    }
  }
}

}  // namespace gcw
