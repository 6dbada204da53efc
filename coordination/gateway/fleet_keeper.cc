#include "coordination/gateway/fleet_keeper.h"

#include <algorithm>
#include <utility>

namespace gcw {
namespace {

// Generations of one keeper lie between its fencing number and the next
// possible one, so that every later keeper's are higher.
constexpr std::int64_t kGenerationsPerFence = 4096;

FabricDomainId RecordDomain(const VmRegistration& vm) {
  return FabricDomainId(vm.service.value() + "." + vm.domain.value());
}

bool IsMemberOf(const VmRegistration& vm, const GroupRecord& group) {
  return vm.membership && vm.membership->group == group.id &&
         vm.membership->generation == group.generation;
}

}  // namespace

FleetKeeper::FleetKeeper(FleetKeeperSettings settings,
                         DomainRecordCodec codec,
                         LastProgress last_progress,
                         EventSink events)
    : settings_(settings),
      codec_(std::move(codec)),
      last_progress_(std::move(last_progress)),
      events_(std::move(events)),
      planner_(settings.planner),
      loads_(settings.loads) {}

void FleetKeeper::SetRole(Time now, const std::optional<HeldRole>& role) {
  const bool is_same = role_ && role && role_->fence == role->fence;
  role_ = role;
  if (is_same) {
    return;
  }
  // Whatever was known belongs to another term of the role.
  domains_.clear();
  pending_.clear();
  pending_of_.clear();
  last_orders_.clear();
  calls_.clear();
  stagings_.clear();
  doubts_.clear();
  ended_.clear();
  left_.clear();
  first_seen_.clear();
  last_appeared_.clear();
  fenced_off_ = false;
  last_group_ = 0;
  loads_.Tick(now);
}

void FleetKeeper::OnStandstill(const VmId& head, Generation generation) {
  standstills_.emplace(head, generation);
}

std::vector<FleetKeeperAction> FleetKeeper::Tick(Time now,
                                                 const FleetView& view) {
  actions_.clear();
  if (!role_ || fenced_off_ || !view.routes() ||
      now + settings_.order_margin >= role_->valid_until) {
    return {};
  }
  loads_.Tick(now);
  ExpireOrders(now);
  FindDomains(now, view);
  for (const ServiceRule& service : view.routes()->configuration().services) {
    if (service.engine) {
      loads_.SetProfile(*service.engine);
      PlanService(now, view, service);
    }
  }
  for (auto& [id, domain] : domains_) {
    if (domain.writer.state() == WriterState::kReady) {
      for (const GroupRecord& group : domain.writer.record().groups) {
        OrderGroup(now, view, domain, group);
      }
    }
  }
  OrderStagings(now, view);
  ProbeDoubted(now, view);
  for (auto& [id, domain] : domains_) {
    if (std::optional<StoreCall> call = domain.writer.Tick(now)) {
      ++last_call_;
      domain.writer.OnCallSent(now, last_call_);
      calls_[last_call_] = id;
      actions_.emplace_back(StoreRequest{last_call_, *std::move(call)});
    }
  }
  return std::exchange(actions_, {});
}

std::vector<FleetKeeperAction>
FleetKeeper::OnStoreReply(Time now, StoreCallId id, const StoreReply& reply) {
  const auto call = calls_.find(id);
  if (call == calls_.end()) {
    return {};
  }
  const auto domain = domains_.find(call->second);
  calls_.erase(call);
  if (domain != domains_.end()) {
    domain->second.writer.OnReply(now, id, reply);
  }
  return {};
}

void FleetKeeper::FindDomains(Time now, const FleetView& view) {
  for (const auto& [id, vm] : view.vms()) {
    if (vm.domain.empty()) {
      continue;
    }
    const FabricDomainId domain = RecordDomain(vm);
    if (first_seen_.emplace(id, now).second) {
      last_appeared_[domain] = now;
    }
    if (domains_.contains(domain)) {
      continue;
    }
    const auto it = domains_.emplace(
        domain, Domain{vm.service,
                       DomainWriter(domain, settings_.writer, codec_, events_),
                       {}});
    it.first->second.writer.Start(now, role_->fence);
  }
}

void FleetKeeper::PlanService(Time now,
                              const FleetView& view,
                              const ServiceRule& service) {
  std::vector<PlannedDomain> planned;
  std::map<FabricDomainId, DomainRecord> nexts;
  for (auto& [id, domain] : domains_) {
    if (domain.service != service.id ||
        domain.writer.state() != WriterState::kReady) {
      continue;
    }
    ReviewGroups(now, view, domain);
    DomainRecord next = domain.writer.record();
    RemoveOver(now, view, domain, next);
    planned.push_back(Describe(now, view, domain, next));
    nexts.emplace(id, std::move(next));
  }
  GroupPlan plan = planner_.Plan(*service.engine, planned);
  stagings_ = std::move(plan.stagings);
  for (PlannedGroup& formed : plan.groups) {
    GroupRecord group;
    ++last_group_;
    group.generation =
        Generation(role_->fence.value() * kGenerationsPerFence + last_group_);
    group.id = GroupId("g" + std::to_string(group.generation.value()));
    group.model = formed.model;
    group.members = std::move(formed.members);
    Report(EventKind::kGroupPlanned, group,
           {{"domain", formed.domain.value()},
            {"model", group.model.value()},
            {"members", static_cast<std::int64_t>(group.members.size())}});
    nexts.at(formed.domain).groups.push_back(std::move(group));
  }
  for (auto& [id, next] : nexts) {
    Domain& domain = domains_.at(id);
    if (next != domain.writer.record()) {
      Commit(now, domain, std::move(next));
    }
  }
}

void FleetKeeper::Commit(Time now, Domain& domain, DomainRecord next) {
  ++last_change_;
  domain.writer.Propose(now, std::move(next),
                        ChangeId("k" + std::to_string(role_->fence.value()) +
                                 "-" + std::to_string(last_change_)));
}

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
      if (phase != MemberPhase::kJoining) {
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
    // Whichever member is the cause must not go into the next group.
    if (!run.ends_by_plan && !run.stands_still_since) {
      DoubtMembers(now, group, run);
    }
    Report(EventKind::kGroupClosed, group, {{"reason", run.ending}});
  }
  std::erase_if(domain.runs,
                [&](const auto& run) { return !recorded.contains(run.first); });
}

std::string FleetKeeper::FindDamage(Time now,
                                    const FleetView& view,
                                    const Domain& domain,
                                    const GroupRecord& group,
                                    GroupRun& run) const {
  const VmId& head = group.members.front();
  // A member that is cut off from the key-value service loses its registration
  // and goes on; closing its group would lose the others' work too.
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
    // One that leaves by plan stays while its group has work. Without a spare
    // to take its place, closing the group now would only end its service
    // sooner.
    if (vm->draining && member != head && run.open_seen &&
        CountFreeWith(view, domain, group.model) == 0) {
      continue;
    }
    if (vm->draining) {
      run.ends_by_plan = true;
      return "member_leaving:" + member.value();
    }
    if (!IsMemberOf(*vm, group)) {
      if (run.joined.contains(member)) {
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
      HasBetterMember(view, domain, group)) {
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
  // A slow group serves, if late. It is closed only for one that is not slow:
  // forming it anew of the same members would cost its streams for nothing.
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
  return static_cast<std::size_t>(std::count_if(
      view.vms().begin(), view.vms().end(), [&](const auto& entry) {
        const VmRegistration& vm = entry.second;
        return !vm.domain.empty() && !vm.draining &&
               RecordDomain(vm) == domain.writer.record().domain &&
               vm.HasStaged(model) && !taken.contains(vm.id) &&
               !doubts_.contains(vm.id);
      }));
}

bool FleetKeeper::HasBetterMember(const FleetView& view,
                                  const Domain& domain,
                                  const GroupRecord& group) const {
  const bool waits_for_load = std::any_of(
      group.members.begin(), group.members.end(), [&](const VmId& member) {
        const VmRegistration* vm = view.FindVm(member);
        return vm != nullptr && !vm->HasStaged(group.model);
      });
  return waits_for_load && CountFreeWith(view, domain, group.model) > 0;
}

bool FleetKeeper::HasLeft(const FleetView& view,
                          const GroupRecord& group,
                          const GroupRun& run,
                          const VmId& member) const {
  const VmRegistration* vm = view.FindVm(member);
  // A late order for this group finds no such group there.
  return run.left.contains(member) ||
         (vm != nullptr && (!IsMemberOf(*vm, group) ||
                            vm->membership->phase == MemberPhase::kBroken));
}

bool FleetKeeper::IsOver(const FleetView& view,
                         const GroupRecord& group,
                         const GroupRun& run) const {
  if (HasLeft(view, group, run, group.members.front())) {
    return true;
  }
  // The first member may be cut off and go on; the others are free of it once
  // each has left. One that is gone or silent is put into no group, and is told
  // to leave when it comes back.
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

PlannedDomain FleetKeeper::Describe(Time now,
                                    const FleetView& view,
                                    const Domain& domain,
                                    const DomainRecord& next) {
  PlannedDomain planned;
  planned.domain = next.domain;
  std::set<VmId> taken;
  for (const GroupRecord& group : next.groups) {
    taken.insert(group.members.begin(), group.members.end());
    const auto run = domain.runs.find(group.id);
    if (run == domain.runs.end() || run->second.ending.empty()) {
      ++planned.groups[group.model];
    }
  }
  const auto appeared = last_appeared_.find(next.domain);
  planned.filling = appeared != last_appeared_.end() &&
                    now - appeared->second < settings_.settle_time;
  for (const auto& [id, vm] : view.vms()) {
    if (vm.service != domain.service || vm.domain.empty() ||
        RecordDomain(vm) != next.domain || vm.draining || IsSilent(id)) {
      continue;
    }
    ++planned.vms;
    if (taken.contains(id)) {
      continue;
    }
    // It may be the one that failed its last group.
    if (IsUnclear(id)) {
      planned.unsettled = true;
      continue;
    }
    if (vm.membership && !IsFreeOfOldGroup(now, vm)) {
      planned.unsettled = true;
      continue;
    }
    FreeVm free;
    free.vm = id;
    free.at_hand = vm.staged;
    free.slow = IsSlow(id);
    if (!vm.models.empty()) {
      free.last_model = vm.models.front();
    }
    // A load that was ordered comes to its end; it counts as done.
    const auto last = last_orders_.find(id);
    if (free.at_hand.empty() && last != last_orders_.end() &&
        loads_.IsLoading(id)) {
      for (const PlannedStaging& staging : stagings_) {
        if (staging.vm == id) {
          free.at_hand.push_back(staging.model);
        }
      }
    }
    planned.free.push_back(std::move(free));
  }
  return planned;
}

void FleetKeeper::OrderGroup(Time now,
                             const FleetView& view,
                             const Domain& domain,
                             const GroupRecord& group) {
  const auto found =
      domains_.at(domain.writer.record().domain).runs.find(group.id);
  if (found == domains_.at(domain.writer.record().domain).runs.end()) {
    return;
  }
  GroupRun& run = found->second;
  if (!run.ending.empty()) {
    OrderEnd(now, view, group, run);
    return;
  }
  OrderJoins(now, view, domain, group, run);
}

void FleetKeeper::OrderJoins(Time now,
                             const FleetView& view,
                             const Domain& domain,
                             const GroupRecord& group,
                             GroupRun& run) {
  const ModelProfile* profile = ProfileOf(view, domain.service, group.model);
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
    const bool needs_load = !vm->HasStaged(group.model);
    if (needs_load && profile != nullptr &&
        !loads_.Begin(now, member, profile->load_time)) {
      continue;
    }
    GroupOrder order;
    order.kind = GroupOrderKind::kJoin;
    order.group = group.id;
    order.generation = group.generation;
    order.model = group.model;
    order.members = group.members;
    Send(now, member, vm->address, std::move(order));
  }
  const VmId& head = group.members.front();
  if (!all_ready) {
    return;
  }
  const VmRegistration* vm = view.FindVm(head);
  // Nobody else checks the members: a group that opened without one of them
  // would take requests that it cannot run.
  if (vm->membership->phase != MemberPhase::kReady ||
      !MayOrder(now, head, GroupOrderKind::kOpen, group.id)) {
    return;
  }
  GroupOrder order;
  order.kind = GroupOrderKind::kOpen;
  order.group = group.id;
  order.generation = group.generation;
  order.model = group.model;
  run.open_sent = true;
  Send(now, head, vm->address, std::move(order));
}

void FleetKeeper::OrderEnd(Time now,
                           const FleetView& view,
                           const GroupRecord& group,
                           GroupRun& run) {
  const VmId& head = group.members.front();
  const VmRegistration* vm = view.FindVm(head);
  const bool head_reached =
      vm != nullptr && IsMemberOf(*vm, group) && !IsSilent(head);
  if (!head_reached) {
    for (const VmId& member : group.members) {
      OrderLeave(now, view, group, run, member);
    }
    return;
  }
  const MemberPhase phase = vm->membership->phase;
  const bool let_finish =
      run.ends_by_plan &&
      (phase == MemberPhase::kOpen || phase == MemberPhase::kClosing) &&
      now - run.ending_since < settings_.drain_limit;
  if (!let_finish) {
    OrderLeave(now, view, group, run, head);
    return;
  }
  if (phase == MemberPhase::kOpen &&
      MayOrder(now, head, GroupOrderKind::kClose, group.id)) {
    GroupOrder order;
    order.kind = GroupOrderKind::kClose;
    order.group = group.id;
    order.generation = group.generation;
    Send(now, head, vm->address, std::move(order));
  }
}

void FleetKeeper::OrderLeave(Time now,
                             const FleetView& view,
                             const GroupRecord& group,
                             const GroupRun& run,
                             const VmId& member) {
  const VmRegistration* vm = view.FindVm(member);
  if (vm == nullptr || IsSilent(member) || HasLeft(view, group, run, member) ||
      !MayOrder(now, member, GroupOrderKind::kLeave, group.id)) {
    return;
  }
  GroupOrder order;
  order.kind = GroupOrderKind::kLeave;
  order.group = group.id;
  order.generation = group.generation;
  Send(now, member, vm->address, std::move(order));
}

void FleetKeeper::OrderStagings(Time now, const FleetView& view) {
  for (const PlannedStaging& staging : stagings_) {
    const VmRegistration* vm = view.FindVm(staging.vm);
    if (vm == nullptr || !vm->staged.empty() ||
        !MayOrder(now, staging.vm, GroupOrderKind::kStage, GroupId())) {
      continue;
    }
    const ModelProfile* profile = ProfileOf(view, vm->service, staging.model);
    if (profile == nullptr || loads_.IsLoading(staging.vm) ||
        !loads_.Begin(now, staging.vm, profile->load_time)) {
      continue;
    }
    GroupOrder order;
    order.kind = GroupOrderKind::kStage;
    order.model = staging.model;
    Send(now, staging.vm, vm->address, std::move(order));
  }
  for (const auto& [id, vm] : view.vms()) {
    if (!vm.staged.empty()) {
      loads_.End(id);
    }
  }
}

void FleetKeeper::Doubtful(Time now, const VmId& vm, const Address& address) {
  Doubt& doubt = doubts_[vm];
  doubt.address = address;
  if (!doubt.probing) {
    doubt.next_probe = now;
  }
}

void FleetKeeper::DoubtMembers(Time now,
                               const GroupRecord& group,
                               const GroupRun& run) {
  for (const VmId& member : group.members) {
    const auto address = run.addresses.find(member);
    if (address != run.addresses.end()) {
      Doubtful(now, member, address->second);
    }
  }
}

bool FleetKeeper::IsSilent(const VmId& vm) const {
  const auto found = doubts_.find(vm);
  return found != doubts_.end() && found->second.silent;
}

bool FleetKeeper::IsSlow(const VmId& vm) const {
  const auto found = doubts_.find(vm);
  return found != doubts_.end() && found->second.slow;
}

bool FleetKeeper::IsUnclear(const VmId& vm) const {
  const auto found = doubts_.find(vm);
  return found != doubts_.end() && !found->second.silent && !found->second.slow;
}

void FleetKeeper::ProbeDoubted(Time now, const FleetView& view) {
  for (auto it = doubts_.begin(); it != doubts_.end();) {
    if (view.FindVm(it->first) == nullptr) {
      it = doubts_.erase(it);
      continue;
    }
    Doubt& doubt = it->second;
    if (!doubt.probing && now >= doubt.next_probe) {
      doubt.probing = true;
      actions_.emplace_back(
          ProbeEngine{it->first, doubt.address, settings_.probe_timeout});
    }
    ++it;
  }
}

void FleetKeeper::OnProbeReply(Time now,
                               const VmId& vm,
                               const ProbeReport& report) {
  const auto found = doubts_.find(vm);
  if (found == doubts_.end()) {
    return;
  }
  const bool answered = report.verdict == ProbeVerdict::kAnswered;
  if (answered && report.pace < settings_.slow_pace) {
    doubts_.erase(found);
    return;
  }
  Doubt& doubt = found->second;
  if (doubt.silent != !answered || doubt.slow != answered) {
    events_({EventKind::kVmHeldOff,
             vm.value(),
             {},
             {{"probe", std::string(ProbeVerdictName(report.verdict))},
              {"pace", report.pace}}});
  }
  doubt.silent = !answered;
  doubt.slow = answered;
  doubt.probing = false;
  doubt.next_probe = now + settings_.probe_interval;
}

const ModelProfile* FleetKeeper::ProfileOf(const FleetView& view,
                                           const ServiceId& service,
                                           const ModelId& model) const {
  const ServiceRule* rule = view.routes()->FindService(service);
  if (rule == nullptr || !rule->engine) {
    return nullptr;
  }
  for (const ModelProfile& profile : rule->engine->models) {
    if (profile.model == model) {
      return &profile;
    }
  }
  return nullptr;
}

bool FleetKeeper::MayOrder(Time now,
                           const VmId& vm,
                           GroupOrderKind kind,
                           const GroupId& group) const {
  if (pending_of_.contains(vm)) {
    return false;
  }
  const auto last = last_orders_.find(vm);
  if (last == last_orders_.end() || last->second.kind != kind ||
      last->second.group != group) {
    return true;
  }
  return now - last->second.sent >= settings_.resend_interval;
}

void FleetKeeper::Send(Time now,
                       const VmId& vm,
                       const Address& address,
                       GroupOrder order) {
  order.fence = role_->fence;
  ++last_order_;
  last_orders_[vm] = {order.kind, order.group, now};
  pending_of_[vm] = last_order_;
  pending_[last_order_] = {vm, address, order, now};
  events_({EventKind::kOrderSent,
           vm.value(),
           {},
           {{"order", std::string(GroupOrderKindName(order.kind))},
            {"group", order.group.value()},
            {"model", order.model.value()},
            {"fence", order.fence.value()}}});
  actions_.emplace_back(SendGroupOrder{
      last_order_, vm, address, std::move(order), settings_.order_timeout});
}

void FleetKeeper::ExpireOrders(Time now) {
  std::erase_if(pending_, [&](const auto& pending) {
    const bool is_over =
        now - pending.second.sent >= settings_.order_timeout * 2;
    if (is_over) {
      pending_of_.erase(pending.second.vm);
    }
    return is_over;
  });
}

void FleetKeeper::OnOrderReply(Time now,
                               OrderId id,
                               GroupOrderVerdict verdict) {
  const auto found = pending_.find(id);
  if (found == pending_.end()) {
    return;
  }
  const PendingOrder pending = found->second;
  pending_.erase(found);
  pending_of_.erase(pending.vm);
  if (verdict != GroupOrderVerdict::kBegun &&
      verdict != GroupOrderVerdict::kDone) {
    events_({EventKind::kOrderRefused,
             pending.vm.value(),
             {},
             {{"order", std::string(GroupOrderKindName(pending.order.kind))},
              {"group", pending.order.group.value()},
              {"verdict", std::string(GroupOrderVerdictName(verdict))},
              {"after_ms", (now - pending.sent).millis()}}});
    if (pending.order.kind == GroupOrderKind::kJoin ||
        pending.order.kind == GroupOrderKind::kStage) {
      loads_.End(pending.vm);
    }
  }
  if (verdict == GroupOrderVerdict::kNoAnswer ||
      verdict == GroupOrderVerdict::kUnreachable) {
    Doubtful(now, pending.vm, pending.address);
  }
  if (verdict == GroupOrderVerdict::kStale &&
      pending.order.kind != GroupOrderKind::kJoin) {
    fenced_off_ = true;
    return;
  }
  if (pending.order.kind != GroupOrderKind::kLeave ||
      verdict == GroupOrderVerdict::kNoAnswer ||
      verdict == GroupOrderVerdict::kUnreachable ||
      verdict == GroupOrderVerdict::kRefused) {
    return;
  }
  // Done, or the engine is in no such group, or another VM has the address.
  left_.emplace(pending.vm, pending.order.group);
  for (auto& [domain_id, domain] : domains_) {
    const auto run = domain.runs.find(pending.order.group);
    if (run != domain.runs.end()) {
      run->second.left.insert(pending.vm);
    }
  }
}

void FleetKeeper::Report(EventKind kind,
                         const GroupRecord& group,
                         std::vector<EventField> fields) {
  fields.push_back({"generation", group.generation.value()});
  events_({kind, group.id.value(), {}, std::move(fields)});
}

}  // namespace gcw
