#include "coordination/gateway/fleet_controller.h"

#include <algorithm>
#include <utility>

#include "coordination/gateway/group_membership.h"

namespace gcw {
namespace {

// The generations of a controller lie between its fencing number and the next
// possible one, so that those of every later controller are higher.
constexpr std::int64_t kGenerationsPerFence = 4096;
constexpr double kMillisPerSecond = 1000;

}  // namespace

FleetController::FleetController(FleetControllerSettings settings,
                                 DomainRecordCodec codec,
                                 LastProgress last_progress,
                                 ProbeFilter accepts_load_probe,
                                 EventSink events)
    : settings_(settings),
      codec_(std::move(codec)),
      last_progress_(std::move(last_progress)),
      accepts_load_probe_(std::move(accepts_load_probe)),
      events_(std::move(events)),
      planner_(settings.planner),
      load_pacer_(settings.loads),
      model_demand_(settings.demand),
      capacity_demand_(settings.ranked_demand) {}

void FleetController::SetRole(Time now, const std::optional<HeldRole>& role) {
  const bool is_same = role_ && role && role_->fence == role->fence;
  role_ = role;
  if (is_same) {
    return;
  }
  // All cached state belongs to another term of the role.
  domains_.clear();
  busy_domain_count_ = 0;
  pending_orders_.clear();
  pending_order_ids_.clear();
  last_orders_.clear();
  pending_calls_.clear();
  staging_models_.clear();
  refused_staging_vms_.clear();
  suspects_.clear();
  pending_demand_probes_.clear();
  capacity_demand_ = CapacityDemand(settings_.ranked_demand);
  replaced_vms_.clear();
  ended_groups_.clear();
  left_groups_.clear();
  first_seen_.clear();
  incarnations_.clear();
  last_appearances_.clear();
  vm_domains_.clear();
  changed_vms_.clear();
  all_vms_changed_ = true;
  fenced_off_ = false;
  // If the key-value service keeps a lease through an outage, the role comes
  // back with the same fencing number. If group numbers then started over, one
  // name could stand for two lists of members, and a VM that is ready in the
  // older group would count as a member of the newer one.
  if (role_ && role_->fence != group_number_fence_) {
    group_number_fence_ = role_->fence;
    last_group_number_ = 0;
  }
  load_pacer_.Tick(now);
}

void FleetController::OnGroupStalled(const VmId& head, Generation generation) {
  stalled_groups_.emplace(head, generation);
  ScheduleReview(head);
}

void FleetController::OnHeadUnreachable(const VmId& head,
                                        Generation generation) {
  unreachable_heads_.emplace(head, generation);
  ScheduleReview(head);
}

std::vector<std::pair<VmId, Generation>> FleetController::StalledGroups()
    const {
  std::vector<std::pair<VmId, Generation>> groups;
  for (const auto& [id, domain] : domains_) {
    for (const GroupRecord& group : domain.writer.record().groups) {
      const auto status = domain.group_statuses.find(group.id);
      if (status == domain.group_statuses.end() ||
          !status->second.end_reason.empty()) {
        continue;
      }
      const bool lacks_member =
          status->second.has_opened &&
          (status->second.unregistered_since ||
           std::any_of(group.members.begin(), group.members.end(),
                       [&](const VmId& member) {
                         return suspects_.contains(member) && !IsSlow(member);
                       }));
      if (status->second.stalled_since || lacks_member) {
        groups.emplace_back(group.members.front(), group.generation);
      }
    }
  }
  return groups;
}

std::vector<FleetControllerAction> FleetController::Tick(
    Time now,
    const FleetView& view) {
  actions_.clear();
  if (!role_ || fenced_off_ || !view.routes() ||
      now + settings_.min_remaining_lease >= role_->valid_until) {
    return {};
  }
  load_pacer_.Tick(now);
  ExpireOrders(now);
  ProcessVmChanges(now, view);
  if (IsLossDoubtful()) {
    loss_doubtful_until_ = now + settings_.loss_doubt_time;
  }
  SelectDueDomains(now);
  for (const ServiceRule& service : view.routes()->configuration().services) {
    if (service.engine) {
      load_pacer_.SetProfile(*service.engine);
      PlanService(now, view, service);
    }
  }
  for (auto& [id, domain] : domains_) {
    if (domain.is_reviewed && domain.writer.state() == WriterState::kReady) {
      for (const GroupRecord& group : domain.writer.record().groups) {
        OrderGroup(now, view, domain, group);
      }
    }
  }
  OrderStagings(now, view);
  ProbeSuspects(now, view);
  ProbeDemand(now, view);
  for (auto& [id, domain] : domains_) {
    if (std::optional<StoreCall> call = domain.writer.Tick(now)) {
      ++last_call_id_;
      domain.writer.OnCallSent(now, last_call_id_);
      pending_calls_[last_call_id_] = id;
      actions_.emplace_back(StoreRequest{last_call_id_, *std::move(call)});
    }
  }
  return std::exchange(actions_, {});
}

std::vector<FleetControllerAction> FleetController::OnStoreReply(
    Time now,
    StoreCallId id,
    const StoreReply& reply) {
  const auto call = pending_calls_.find(id);
  if (call == pending_calls_.end()) {
    return {};
  }
  const auto domain = domains_.find(call->second);
  pending_calls_.erase(call);
  if (domain != domains_.end()) {
    domain->second.writer.OnReply(now, id, reply);
    domain->second.next_review = now;
  }
  return {};
}

void FleetController::OnVmsChanged(const std::set<VmId>& vms) {
  if (role_) {
    changed_vms_.insert(vms.begin(), vms.end());
  }
}

void FleetController::ScheduleReview(const VmId& vm) {
  const auto known = vm_domains_.find(vm);
  if (known == vm_domains_.end()) {
    return;
  }
  const auto domain = domains_.find(known->second);
  if (domain != domains_.end()) {
    domain->second.next_review = Time();
  }
}

void FleetController::ProcessVmChanges(Time now, const FleetView& view) {
  if (seen_configuration_ != view.configuration_changes()) {
    seen_configuration_ = view.configuration_changes();
    all_vms_changed_ = true;
    ranked_services_ = FindRankedServices(view.routes()->configuration());
  }
  if (std::exchange(all_vms_changed_, false)) {
    for (const auto& [id, vm] : view.vms()) {
      ProcessVm(now, view, vm);
    }
    for (auto& [id, domain] : domains_) {
      domain.next_review = now;
    }
  }
  for (const VmId& id : std::exchange(changed_vms_, {})) {
    // A VM that is gone, or is now in another domain, triggers a review of its
    // former domain.
    ScheduleReview(id);
    const VmRegistration* vm = view.FindVm(id);
    const auto replaced = replaced_vms_.find(id);
    if (replaced != replaced_vms_.end() &&
        (vm == nullptr || vm->address != replaced->second)) {
      replaced_vms_.erase(replaced);
    }
    if (vm != nullptr) {
      ProcessVm(now, view, *vm);
    }
  }
}

void FleetController::ProcessVm(Time now,
                                const FleetView& view,
                                const VmRegistration& vm) {
  const ServiceRule* service = view.routes()->FindService(vm.service);
  if (vm.domain.empty() || service == nullptr || !service->engine) {
    return;
  }
  const auto [known, is_new] = incarnations_.emplace(vm.id, vm.incarnation);
  if (!is_new && known->second != vm.incarnation) {
    known->second = vm.incarnation;
    ResetVmState(vm.id);
  }
  const FabricDomainId domain = ScopedDomainId(vm);
  vm_domains_[vm.id] = domain;
  if (first_seen_.emplace(vm.id, now).second) {
    last_appearances_[domain] = now;
  }
  const auto [it, is_new_domain] = domains_.try_emplace(
      domain, Domain{vm.service,
                     DomainWriter(domain, settings_.writer, codec_, events_),
                     {},
                     {},
                     {},
                     {},
                     1,
                     {},
                     now});
  if (is_new_domain) {
    it->second.writer.Start(now, role_->fence);
  }
  it->second.next_review = now;
}

// The more domains are busy, the less often each is reviewed without news: a
// controller that falls behind repeats orders and so adds to its own load.
void FleetController::SelectDueDomains(Time now) {
  const Duration busy_review_interval =
      std::max(settings_.busy_review_interval,
               Duration::Millis(static_cast<std::int64_t>(
                   kMillisPerSecond * static_cast<double>(busy_domain_count_) /
                   settings_.busy_reviews_per_second)));
  for (auto& [id, domain] : domains_) {
    domain.is_reviewed = now >= domain.next_review;
    if (domain.is_reviewed) {
      domain.next_review = now + busy_review_interval;
    }
  }
}

bool FleetController::IsIdle(const FleetView& view,
                             const Domain& domain) const {
  if (domain.snapshot.is_populating || domain.snapshot.awaits_free_vms) {
    return false;
  }
  const auto& groups = domain.writer.record().groups;
  return std::all_of(
      groups.begin(), groups.end(), [&](const GroupRecord& group) {
        const auto status = domain.group_statuses.find(group.id);
        return status != domain.group_statuses.end() &&
               status->second.has_opened && status->second.end_reason.empty() &&
               !status->second.stalled_since &&
               std::all_of(group.members.begin(), group.members.end(),
                           [&](const VmId& member) {
                             const VmRegistration* vm = view.FindVm(member);
                             return vm != nullptr && !vm->draining &&
                                    !IsUnresponsive(member);
                           });
      });
}

// A run that starts again under its id has no group, no weights in its engine
// and no order to carry out. If the old state were kept, its group would wait
// for it forever, and an order to join would not be sent again.
void FleetController::ResetVmState(const VmId& vm) {
  last_orders_.erase(vm);
  const auto pending = pending_order_ids_.find(vm);
  if (pending != pending_order_ids_.end()) {
    pending_orders_.erase(pending->second);
    pending_order_ids_.erase(pending);
  }
  load_pacer_.End(vm);
  staging_models_.erase(vm);
  refused_staging_vms_.erase(vm);
  suspects_.erase(vm);
  replaced_vms_.erase(vm);
  std::erase_if(left_groups_,
                [&](const auto& left) { return left.first == vm; });
  for (auto& [id, domain] : domains_) {
    for (auto& [group, status] : domain.group_statuses) {
      status.join_ordered.erase(vm);
    }
  }
}

void FleetController::PlanService(Time now,
                                  const FleetView& view,
                                  const ServiceRule& service) {
  std::map<FabricDomainId, DomainRecord> next_records;
  for (auto& [id, domain] : domains_) {
    if (domain.service == service.id && domain.is_reviewed &&
        domain.writer.state() == WriterState::kReady) {
      next_records.emplace(id, ReviewDomain(now, view, domain));
    }
  }
  if (next_records.empty()) {
    return;
  }
  std::vector<DomainSnapshot> reviewed;
  std::vector<const DomainSnapshot*> others;
  for (auto& [id, domain] : domains_) {
    if (next_records.contains(id)) {
      reviewed.push_back(domain.snapshot);
      domain.stagings.clear();
    } else if (domain.service == service.id &&
               domain.writer.state() == WriterState::kReady) {
      others.push_back(&domain.snapshot);
    }
  }
  GroupPlan plan =
      ranked_services_.contains(service.id)
          ? planner_.Plan(capacity_demand_.ApplyTo(now, *service.engine),
                          std::move(reviewed), others,
                          RegroupingScope::kAllModels)
          : planner_.Plan(model_demand_.ApplyTo(*service.engine),
                          std::move(reviewed), others);
  for (PlannedStaging& staging : plan.stagings) {
    domains_.at(staging.domain).stagings.push_back(std::move(staging));
  }
  for (const Regrouping& regrouping : plan.regroupings) {
    GiveUpGroups(now, regrouping);
  }
  for (PlannedGroup& planned_group : plan.groups) {
    domains_.at(planned_group.domain).regroup_target = ModelId();
    DomainRecord& next_record = next_records.at(planned_group.domain);
    AddGroup(std::move(planned_group), next_record);
  }
  for (auto& [id, next_record] : next_records) {
    Domain& domain = domains_.at(id);
    if (next_record != domain.writer.record()) {
      Commit(now, domain, std::move(next_record));
    }
  }
}

DomainRecord FleetController::ReviewDomain(Time now,
                                           const FleetView& view,
                                           Domain& domain) {
  ReviewGroups(now, view, domain);
  DomainRecord next_record = domain.writer.record();
  RemoveEnded(now, view, domain, next_record);
  if (now >= domain.next_regroup) {
    // Too few of the freed VMs are left to form the group.
    domain.regroup_target = ModelId();
  }
  domain.snapshot = SnapshotDomain(now, view, domain, next_record);
  const bool is_idle = IsIdle(view, domain);
  if (is_idle) {
    domain.next_review = now + settings_.idle_review_interval;
  }
  if (domain.is_busy == is_idle) {
    domain.is_busy = !is_idle;
    busy_domain_count_ += is_idle ? -1 : 1;
  }
  return next_record;
}

void FleetController::AddGroup(PlannedGroup planned_group,
                               DomainRecord& next_record) {
  GroupRecord group;
  ++last_group_number_;
  group.generation = Generation(role_->fence.value() * kGenerationsPerFence +
                                last_group_number_);
  group.id = GroupId("g" + std::to_string(group.generation.value()));
  group.model = std::move(planned_group.model);
  group.members = std::move(planned_group.members);
  ReportGroupEvent(
      EventKind::kGroupPlanned, group,
      {{"domain", planned_group.domain.value()},
       {"model", group.model.value()},
       {"members", static_cast<std::int64_t>(group.members.size())}});
  next_record.groups.push_back(std::move(group));
}

void FleetController::Commit(Time now,
                             Domain& domain,
                             DomainRecord next_record) {
  ++last_change_number_;
  domain.writer.Propose(now, std::move(next_record),
                        ChangeId("k" + std::to_string(role_->fence.value()) +
                                 "-" + std::to_string(last_change_number_)));
}

DomainSnapshot FleetController::SnapshotGroups(
    Time now,
    const FleetView& view,
    const Domain& domain,
    const DomainRecord& next_record) const {
  DomainSnapshot snapshot;
  snapshot.domain = next_record.domain;
  for (const GroupRecord& group : next_record.groups) {
    // It serves nobody now, and stands again once the evacuation ends.
    if (IsEvacuated(view, group)) {
      continue;
    }
    const auto status = domain.group_statuses.find(group.id);
    if (status == domain.group_statuses.end() ||
        status->second.end_reason.empty()) {
      ++snapshot.group_counts[group.model];
      if (status != domain.group_statuses.end() && status->second.has_opened) {
        snapshot.serving_groups.push_back(
            DescribeServingGroup(now, view, group, status->second));
      }
      continue;
    }
    if (status->second.is_regrouped) {
      snapshot.awaits_free_vms = true;
      continue;
    }
    DomainSnapshot::EndingGroups& ending = snapshot.ending_groups[group.model];
    ++ending.count;
    ending.unusable_members += CountUnusableMembers(view, group);
    if (!status->second.has_opened &&
        now - status->second.end_started < settings_.settle_time) {
      // The members are free as soon as each has confirmed that it left. A
      // group formed of other VMs meanwhile would be given up for these members
      // in turn, and so on, with a load each time.
      snapshot.awaits_free_vms = true;
    }
  }
  snapshot.regroup_target = domain.regroup_target;
  snapshot.regroup_count = domain.regroup_count;
  snapshot.may_regroup =
      load_pacer_.has_traffic() && now >= domain.next_regroup;
  const auto appeared = last_appearances_.find(next_record.domain);
  // A VM that appears while the domain serves is a spare, or the VM that a
  // repair waits for. It can load its weights at once.
  const bool is_starting =
      !load_pacer_.has_traffic() || snapshot.group_counts.empty();
  snapshot.is_populating = is_starting && appeared != last_appearances_.end() &&
                           now - appeared->second < settings_.settle_time;
  return snapshot;
}

DomainSnapshot FleetController::SnapshotDomain(
    Time now,
    const FleetView& view,
    const Domain& domain,
    const DomainRecord& next_record) {
  DomainSnapshot snapshot = SnapshotGroups(now, view, domain, next_record);
  std::set<VmId> assigned;
  for (const GroupRecord& group : next_record.groups) {
    assigned.insert(group.members.begin(), group.members.end());
  }
  for (const auto& [id, vm] : view.VmsInDomain(next_record.domain)) {
    if (vm->draining || IsUnresponsive(id) || view.IsEvacuated(*vm)) {
      continue;
    }
    ++snapshot.vm_count;
    if (assigned.contains(id)) {
      continue;
    }
    // This VM may be the member that made its last group fail.
    if (AwaitsProbeVerdict(id)) {
      snapshot.awaits_free_vms = true;
      continue;
    }
    if (vm->membership && !MayJoinNewGroup(now, *vm)) {
      snapshot.awaits_free_vms = true;
      continue;
    }
    snapshot.free_vms.push_back(DescribeCandidate(*vm));
  }
  const ServiceRule* service = view.routes()->FindService(domain.service);
  if (service != nullptr && service->has_warm_up_limit()) {
    for (VmCandidate& candidate : snapshot.free_vms) {
      const VmRegistration& vm = *view.FindVm(candidate.vm);
      candidate.is_cold = vm.warm_up_left > Duration();
      candidate.started = vm.incarnation;
    }
  }
  return snapshot;
}

bool FleetController::IsEvacuated(const FleetView& view,
                                  const GroupRecord& group) {
  const VmRegistration* head = view.FindVm(group.members.front());
  return head != nullptr && view.IsEvacuated(*head);
}

VmCandidate FleetController::DescribeCandidate(const VmRegistration& vm) const {
  VmCandidate candidate;
  candidate.vm = vm.id;
  candidate.staged = vm.staged;
  candidate.is_slow = IsSlow(vm.id);
  if (!vm.models.empty()) {
    candidate.last_model = vm.models.front();
  }
  // Without this, the next plan would assign the VM to another model.
  const auto staging = staging_models_.find(vm.id);
  if (staging != staging_models_.end()) {
    candidate.loading_model = staging->second;
  }
  return candidate;
}

ServingGroup FleetController::DescribeServingGroup(
    Time now,
    const FleetView& view,
    const GroupRecord& group,
    const GroupStatus& status) const {
  ServingGroup serving_group;
  serving_group.id = group.id;
  serving_group.model = group.model;
  // A group that was formed only recently keeps serving. Groups of earlier
  // controllers have served for longer than this controller has known them.
  const bool is_own =
      group.generation.value() > role_->fence.value() * kGenerationsPerFence;
  serving_group.may_be_given_up =
      !is_own || now - status.observed_since >= settings_.regroup_interval;
  for (const VmId& member : group.members) {
    const VmRegistration* vm = view.FindVm(member);
    if (vm != nullptr && !vm->draining && !IsUnresponsive(member)) {
      serving_group.members.push_back(DescribeCandidate(*vm));
    }
  }
  return serving_group;
}

std::vector<ModelPlacement> FleetController::Placements(
    const FleetView& view) const {
  std::vector<ModelPlacement> placements;
  if (!role_ || !view.routes()) {
    return placements;
  }
  for (const ServiceId& id : ranked_services_) {
    const ServiceRule* service = view.routes()->FindService(id);
    if (service == nullptr || !service->engine) {
      continue;
    }
    for (const ModelProfile& model : service->engine->models) {
      placements.push_back({id, model.model,
                            CountServingGroups(id, model.model),
                            capacity_demand_.NeededGroups(model.model)});
    }
  }
  return placements;
}

void FleetController::GiveUpGroups(Time now, const Regrouping& regrouping) {
  Domain& domain = domains_.at(regrouping.domain);
  if (ranked_services_.contains(domain.service)) {
    const auto serving = [&](const ModelId& model) {
      return static_cast<std::int64_t>(
          CountServingGroups(domain.service, model));
    };
    events_(
        {EventKind::kGroupsReassigned,
         regrouping.domain.value(),
         {},
         {{"model", regrouping.model.value()},
          {"groups", static_cast<std::int64_t>(regrouping.new_groups)},
          {"serving", serving(regrouping.model)},
          {"needed", capacity_demand_.NeededGroups(regrouping.model)},
          {"given_up_model", regrouping.given_up_model.value()},
          {"given_up", static_cast<std::int64_t>(regrouping.given_up.size())},
          {"given_up_serving", serving(regrouping.given_up_model)},
          {"given_up_needed",
           capacity_demand_.NeededGroups(regrouping.given_up_model)}}});
  }
  domain.regroup_target = regrouping.model;
  domain.regroup_count = regrouping.new_groups;
  domain.next_regroup = now + settings_.regroup_interval;
  domain.next_review = now;
  for (const GroupRecord& group : domain.writer.record().groups) {
    if (std::find(regrouping.given_up.begin(), regrouping.given_up.end(),
                  group.id) == regrouping.given_up.end()) {
      continue;
    }
    GroupStatus& status = domain.group_statuses[group.id];
    status.end_reason = "regrouped:" + regrouping.model.value();
    status.end_started = now;
    status.is_planned_end = true;
    status.is_regrouped = true;
    ReportGroupClosed(now, group, status);
  }
}

std::size_t FleetController::CountUnusableMembers(
    const FleetView& view,
    const GroupRecord& group) const {
  return static_cast<std::size_t>(std::count_if(
      group.members.begin(), group.members.end(), [&](const VmId& member) {
        const VmRegistration* vm = view.FindVm(member);
        return vm == nullptr || vm->draining || IsUnresponsive(member);
      }));
}

const ModelProfile* FleetController::FindModelProfile(
    const FleetView& view,
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

void FleetController::ReportGroupEvent(EventKind kind,
                                       const GroupRecord& group,
                                       std::vector<EventField> fields) {
  fields.push_back({"generation", group.generation.value()});
  events_({kind, group.id.value(), {}, std::move(fields)});
}

}  // namespace gcw
