#include "coordination/gateway/fleet_keeper.h"

#include <algorithm>
#include <utility>

#include "coordination/gateway/group_membership.h"

namespace gcw {
namespace {

// The generations of a keeper lie between its fencing number and the next
// possible one, so that those of every later keeper are higher.
constexpr std::int64_t kGenerationsPerFence = 4096;
constexpr double kMillisPerSecond = 1000;

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
      loads_(settings.loads),
      demand_(settings.demand) {}

void FleetKeeper::SetRole(Time now, const std::optional<HeldRole>& role) {
  const bool is_same = role_ && role && role_->fence == role->fence;
  role_ = role;
  if (is_same) {
    return;
  }
  // All cached state belongs to another term of the role.
  domains_.clear();
  busy_domains_ = 0;
  pending_.clear();
  pending_of_.clear();
  last_orders_.clear();
  calls_.clear();
  staging_.clear();
  refused_staging_.clear();
  doubts_.clear();
  demand_asked_.clear();
  replaced_.clear();
  ended_.clear();
  left_.clear();
  first_seen_.clear();
  incarnations_.clear();
  last_appeared_.clear();
  domain_of_.clear();
  changed_.clear();
  takes_all_ = true;
  fenced_off_ = false;
  // If the key-value service keeps a lease through an outage, the role comes
  // back with the same fencing number. If group numbers then started over, one
  // name could stand for two lists of members, and a VM that is ready in the
  // older group would count as a member of the newer one.
  if (role_ && role_->fence != numbered_fence_) {
    numbered_fence_ = role_->fence;
    last_group_ = 0;
  }
  loads_.Tick(now);
}

void FleetKeeper::OnStandstill(const VmId& head, Generation generation) {
  standstills_.emplace(head, generation);
  Touch(head);
}

std::vector<std::pair<VmId, Generation>> FleetKeeper::StandingStill() const {
  std::vector<std::pair<VmId, Generation>> groups;
  for (const auto& [id, domain] : domains_) {
    for (const GroupRecord& group : domain.writer.record().groups) {
      const auto run = domain.runs.find(group.id);
      if (run != domain.runs.end() && run->second.stands_still_since &&
          run->second.ending.empty()) {
        groups.emplace_back(group.members.front(), group.generation);
      }
    }
  }
  return groups;
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
  TakeChanges(now, view);
  ChooseReviewed(now);
  for (const ServiceRule& service : view.routes()->configuration().services) {
    if (service.engine) {
      loads_.SetProfile(*service.engine);
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
  ProbeDoubted(now, view);
  ProbeDemand(now, view);
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
    domain->second.next_review = now;
  }
  return {};
}

void FleetKeeper::OnVmsChanged(const std::set<VmId>& vms) {
  if (role_) {
    changed_.insert(vms.begin(), vms.end());
  }
}

void FleetKeeper::Touch(const VmId& vm) {
  const auto known = domain_of_.find(vm);
  if (known == domain_of_.end()) {
    return;
  }
  const auto domain = domains_.find(known->second);
  if (domain != domains_.end()) {
    domain->second.next_review = Time();
  }
}

void FleetKeeper::TakeChanges(Time now, const FleetView& view) {
  if (seen_configuration_ != view.configuration_changes()) {
    seen_configuration_ = view.configuration_changes();
    takes_all_ = true;
  }
  if (std::exchange(takes_all_, false)) {
    for (const auto& [id, vm] : view.vms()) {
      TakeChange(now, view, vm);
    }
    for (auto& [id, domain] : domains_) {
      domain.next_review = now;
    }
  }
  for (const VmId& id : std::exchange(changed_, {})) {
    // A VM that is gone, or is in another domain now, is news for its former
    // domain.
    Touch(id);
    const VmRegistration* vm = view.FindVm(id);
    const auto replaced = replaced_.find(id);
    if (replaced != replaced_.end() &&
        (vm == nullptr || vm->address != replaced->second)) {
      replaced_.erase(replaced);
    }
    if (vm != nullptr) {
      TakeChange(now, view, *vm);
    }
  }
}

void FleetKeeper::TakeChange(Time now,
                             const FleetView& view,
                             const VmRegistration& vm) {
  const ServiceRule* service = view.routes()->FindService(vm.service);
  if (vm.domain.empty() || service == nullptr || !service->engine) {
    return;
  }
  const auto [known, is_new] = incarnations_.emplace(vm.id, vm.incarnation);
  if (!is_new && known->second != vm.incarnation) {
    known->second = vm.incarnation;
    ForgetRun(vm.id);
  }
  const FabricDomainId domain = RecordDomain(vm);
  domain_of_[vm.id] = domain;
  if (first_seen_.emplace(vm.id, now).second) {
    last_appeared_[domain] = now;
  }
  const auto [it, is_new_domain] = domains_.try_emplace(
      domain, Domain{vm.service,
                     DomainWriter(domain, settings_.writer, codec_, events_),
                     {},
                     {},
                     {},
                     {},
                     {},
                     now});
  if (is_new_domain) {
    it->second.writer.Start(now, role_->fence);
  }
  it->second.next_review = now;
}

// The more domains are busy, the less often each is reviewed without news: a
// keeper that falls behind repeats orders and so adds to its own load.
void FleetKeeper::ChooseReviewed(Time now) {
  const Duration busy_review =
      std::max(settings_.busy_review,
               Duration::Millis(static_cast<std::int64_t>(
                   kMillisPerSecond * static_cast<double>(busy_domains_) /
                   settings_.busy_reviews_per_second)));
  for (auto& [id, domain] : domains_) {
    domain.is_reviewed = now >= domain.next_review;
    if (domain.is_reviewed) {
      domain.next_review = now + busy_review;
    }
  }
}

bool FleetKeeper::IsQuiet(const FleetView& view, const Domain& domain) const {
  if (domain.planned.filling || domain.planned.unsettled) {
    return false;
  }
  const auto& groups = domain.writer.record().groups;
  return std::all_of(
      groups.begin(), groups.end(), [&](const GroupRecord& group) {
        const auto run = domain.runs.find(group.id);
        return run != domain.runs.end() && run->second.open_seen &&
               run->second.ending.empty() && !run->second.stands_still_since &&
               std::all_of(group.members.begin(), group.members.end(),
                           [&](const VmId& member) {
                             const VmRegistration* vm = view.FindVm(member);
                             return vm != nullptr && !vm->draining;
                           });
      });
}

// A run that starts again under its id has no group, no weights in its engine
// and no order to carry out. If the old state were kept, its group would wait
// for it forever, and an order to join would not be sent again.
void FleetKeeper::ForgetRun(const VmId& vm) {
  last_orders_.erase(vm);
  const auto pending = pending_of_.find(vm);
  if (pending != pending_of_.end()) {
    pending_.erase(pending->second);
    pending_of_.erase(pending);
  }
  loads_.End(vm);
  staging_.erase(vm);
  refused_staging_.erase(vm);
  doubts_.erase(vm);
  replaced_.erase(vm);
  std::erase_if(left_, [&](const auto& left) { return left.first == vm; });
  for (auto& [id, domain] : domains_) {
    for (auto& [group, run] : domain.runs) {
      run.join_sent.erase(vm);
    }
  }
}

void FleetKeeper::PlanService(Time now,
                              const FleetView& view,
                              const ServiceRule& service) {
  std::map<FabricDomainId, DomainRecord> nexts;
  for (auto& [id, domain] : domains_) {
    if (domain.service == service.id && domain.is_reviewed &&
        domain.writer.state() == WriterState::kReady) {
      nexts.emplace(id, Review(now, view, domain));
    }
  }
  if (nexts.empty()) {
    return;
  }
  std::vector<PlannedDomain> reviewed;
  std::vector<const PlannedDomain*> others;
  for (auto& [id, domain] : domains_) {
    if (nexts.contains(id)) {
      reviewed.push_back(domain.planned);
      domain.stagings.clear();
    } else if (domain.service == service.id &&
               domain.writer.state() == WriterState::kReady) {
      others.push_back(&domain.planned);
    }
  }
  GroupPlan plan = planner_.Plan(demand_.ApplyTo(*service.engine),
                                 std::move(reviewed), others);
  for (PlannedStaging& staging : plan.stagings) {
    domains_.at(staging.domain).stagings.push_back(std::move(staging));
  }
  for (const Regrouping& change : plan.regroupings) {
    GiveUpGroups(now, change);
  }
  for (PlannedGroup& formed : plan.groups) {
    domains_.at(formed.domain).regroups_for = ModelId();
    DomainRecord& next = nexts.at(formed.domain);
    AddGroup(std::move(formed), next);
  }
  for (auto& [id, next] : nexts) {
    Domain& domain = domains_.at(id);
    if (next != domain.writer.record()) {
      Commit(now, domain, std::move(next));
    }
  }
}

DomainRecord FleetKeeper::Review(Time now,
                                 const FleetView& view,
                                 Domain& domain) {
  ReviewGroups(now, view, domain);
  DomainRecord next = domain.writer.record();
  RemoveOver(now, view, domain, next);
  if (now >= domain.next_regroup) {
    // Too few of the freed VMs are left to form the group.
    domain.regroups_for = ModelId();
  }
  domain.planned = Describe(now, view, domain, next);
  const bool is_quiet = IsQuiet(view, domain);
  if (is_quiet) {
    domain.next_review = now + settings_.quiet_review;
  }
  if (domain.is_busy == is_quiet) {
    domain.is_busy = !is_quiet;
    busy_domains_ += is_quiet ? -1 : 1;
  }
  return next;
}

void FleetKeeper::AddGroup(PlannedGroup formed, DomainRecord& next) {
  GroupRecord group;
  ++last_group_;
  group.generation =
      Generation(role_->fence.value() * kGenerationsPerFence + last_group_);
  group.id = GroupId("g" + std::to_string(group.generation.value()));
  group.model = std::move(formed.model);
  group.members = std::move(formed.members);
  Report(EventKind::kGroupPlanned, group,
         {{"domain", formed.domain.value()},
          {"model", group.model.value()},
          {"members", static_cast<std::int64_t>(group.members.size())}});
  next.groups.push_back(std::move(group));
}

void FleetKeeper::Commit(Time now, Domain& domain, DomainRecord next) {
  ++last_change_;
  domain.writer.Propose(now, std::move(next),
                        ChangeId("k" + std::to_string(role_->fence.value()) +
                                 "-" + std::to_string(last_change_)));
}

PlannedDomain FleetKeeper::DescribeGroups(Time now,
                                          const FleetView& view,
                                          const Domain& domain,
                                          const DomainRecord& next) const {
  PlannedDomain planned;
  planned.domain = next.domain;
  for (const GroupRecord& group : next.groups) {
    const auto run = domain.runs.find(group.id);
    if (run == domain.runs.end() || run->second.ending.empty()) {
      ++planned.groups[group.model];
      if (run != domain.runs.end() && run->second.open_seen) {
        planned.standing.push_back(
            DescribeStanding(now, view, group, run->second));
      }
      continue;
    }
    if (run->second.is_regrouped) {
      planned.unsettled = true;
      continue;
    }
    PlannedDomain::Ending& ending = planned.ending[group.model];
    ++ending.groups;
    ending.lost += CountUnusable(view, group);
    if (!run->second.open_seen &&
        now - run->second.ending_since < settings_.settle_time) {
      // The members are free as soon as each has confirmed that it left. A
      // group formed of other VMs meanwhile would be given up for these members
      // in turn, and so on, with a load each time.
      planned.unsettled = true;
    }
  }
  planned.regroups_for = domain.regroups_for;
  planned.may_regroup = loads_.has_traffic() && now >= domain.next_regroup;
  const auto appeared = last_appeared_.find(next.domain);
  // A VM that appears while the domain serves is a spare, or the VM that a
  // repair waits for. It can load its weights at once.
  const bool is_starting = !loads_.has_traffic() || planned.groups.empty();
  planned.filling = is_starting && appeared != last_appeared_.end() &&
                    now - appeared->second < settings_.settle_time;
  return planned;
}

PlannedDomain FleetKeeper::Describe(Time now,
                                    const FleetView& view,
                                    const Domain& domain,
                                    const DomainRecord& next) {
  PlannedDomain planned = DescribeGroups(now, view, domain, next);
  std::set<VmId> taken;
  for (const GroupRecord& group : next.groups) {
    taken.insert(group.members.begin(), group.members.end());
  }
  for (const auto& [id, vm] : view.VmsOf(next.domain)) {
    if (vm->draining || IsSilent(id)) {
      continue;
    }
    ++planned.vms;
    if (taken.contains(id)) {
      continue;
    }
    // This VM may be the member that made its last group fail.
    if (IsUnclear(id)) {
      planned.unsettled = true;
      continue;
    }
    if (vm->membership && !IsFreeOfOldGroup(now, *vm)) {
      planned.unsettled = true;
      continue;
    }
    planned.free.push_back(DescribeVm(*vm));
  }
  return planned;
}

FreeVm FleetKeeper::DescribeVm(const VmRegistration& vm) const {
  FreeVm described;
  described.vm = vm.id;
  described.at_hand = vm.staged;
  described.slow = IsSlow(vm.id);
  if (!vm.models.empty()) {
    described.last_model = vm.models.front();
  }
  // Without this, the next plan would assign the VM to another model.
  const auto staging = staging_.find(vm.id);
  if (staging != staging_.end()) {
    described.loading = staging->second;
  }
  return described;
}

StandingGroup FleetKeeper::DescribeStanding(Time now,
                                            const FleetView& view,
                                            const GroupRecord& group,
                                            const GroupRun& run) const {
  StandingGroup standing;
  standing.id = group.id;
  standing.model = group.model;
  // A group that was formed only recently keeps serving. Groups of earlier
  // keepers have served for longer than this keeper has known them.
  const bool is_own =
      group.generation.value() > role_->fence.value() * kGenerationsPerFence;
  standing.may_be_given_up =
      !is_own || now - run.since >= settings_.regroup_interval;
  for (const VmId& member : group.members) {
    const VmRegistration* vm = view.FindVm(member);
    if (vm != nullptr && !vm->draining && !IsSilent(member)) {
      standing.members.push_back(DescribeVm(*vm));
    }
  }
  return standing;
}

void FleetKeeper::GiveUpGroups(Time now, const Regrouping& change) {
  Domain& domain = domains_.at(change.domain);
  domain.regroups_for = change.model;
  domain.next_regroup = now + settings_.regroup_interval;
  domain.next_review = now;
  for (const GroupRecord& group : domain.writer.record().groups) {
    if (std::find(change.given_up.begin(), change.given_up.end(), group.id) ==
        change.given_up.end()) {
      continue;
    }
    GroupRun& run = domain.runs[group.id];
    run.ending = "regrouped:" + change.model.value();
    run.ending_since = now;
    run.ends_by_plan = true;
    run.is_regrouped = true;
    Report(EventKind::kGroupClosed, group, {{"reason", run.ending}});
  }
}

std::size_t FleetKeeper::CountUnusable(const FleetView& view,
                                       const GroupRecord& group) const {
  return static_cast<std::size_t>(std::count_if(
      group.members.begin(), group.members.end(), [&](const VmId& member) {
        const VmRegistration* vm = view.FindVm(member);
        return vm == nullptr || vm->draining || IsSilent(member);
      }));
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

void FleetKeeper::Report(EventKind kind,
                         const GroupRecord& group,
                         std::vector<EventField> fields) {
  fields.push_back({"generation", group.generation.value()});
  events_({kind, group.id.value(), {}, std::move(fields)});
}

}  // namespace gcw
