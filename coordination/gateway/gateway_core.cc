#include "coordination/gateway/gateway_core.h"

#include <algorithm>
#include <map>
#include <utility>

#include "coordination/rendezvous.h"

namespace gcw {
namespace {

NodeLease MakeLease(const GatewaySettings& settings,
                    const GatewayCore::Codecs& codecs,
                    const Random& random,
                    const EventSink& events) {
  return NodeLease::Builder()
      .SetSettings(settings.lease)
      .SetRecord(settings.self)
      .SetEncode(codecs.encode_node)
      .SetRandom(random)
      .SetEventSink(events)
      .Build();
}

}  // namespace

GatewayCore::GatewayCore(GatewaySettings settings,
                         const Codecs& codecs,
                         Random random,
                         EventSink events)
    : settings_(std::move(settings)),
      random_(std::move(random)),
      events_(std::move(events)),
      view_(codecs.fleet, events_),
      mirror_(settings_.mirror,
              random_,
              {[this](Time now, const StoreEntry& entry) {
                 if (entry.key.starts_with(kCrashRecordPrefix)) {
                   crash_guard_.OnRecordPut(now, entry);
                 } else {
                   view_.OnPut(now, entry);
                 }
               },
               [this](Time now, const std::string& key) {
                 if (key.starts_with(kCrashRecordPrefix)) {
                   crash_guard_.OnRecordDeleted(now, key);
                 } else {
                   view_.OnDeleted(now, key);
                 }
               },
               [this](bool reachable) {
                 events_({reachable ? EventKind::kStoreReachable
                                    : EventKind::kStoreUnreachable,
                          settings_.self.id.value(),
                          {},
                          {{"revision", mirror_.revision().value()}}});
               },
               [this] { return InitialReadSpread(); }}),
      lease_(MakeLease(settings_, codecs, random_, events_)),
      roles_(RoleLeases::Builder()
                 .SetSettings(settings_.roles)
                 .SetSelf(settings_.self.id)
                 .SetLease([this](Time now) { return lease_.Held(now); })
                 .SetRandom(random_)
                 .SetEventSink(events_)
                 .Build()),
      controller_(
          settings_.controller,
          codecs.domain_record,
          [this](const VmId& head, Generation generation) {
            return selector_.LastProgress(head, generation);
          },
          [this](const VmId& vm) {
            return !selector_.IsLimited(vm) && !selector_.IsHeld(vm);
          },
          events_),
      overview_(settings_.overview,
                codecs.fleet.overview_key,
                codecs.encode_overview),
      selector_(settings_.selector, settings_.self.zone, random_, events_),
      retry_share_(settings_.retry_share),
      budget_(settings_.retries, random_),
      crash_guard_(
          settings_.crashes,
          [this](const EndpointRun& run) {
            const VmRegistration* vm = view_.FindVm(run.vm);
            return vm != nullptr && !vm->draining &&
                   vm->incarnation == run.incarnation &&
                   !selector_.IsLeaving(run);
          },
          [this](const VmId& vm) { return selector_.CountAlike(vm); },
          codecs.crash_record,
          random_,
          events_),
      run_lock_table_(settings_.run_locks),
      run_locks_(settings_.run_locks,
                 [this](Fingerprint fingerprint) {
                   return ChooseRunLockOwner(fingerprint);
                 }),
      relays_(settings_.relays, settings_.self.zone, random_),
      reachability_(settings_.reachability, events_),
      forwards_(settings_.requests,
                {.selector = &selector_,
                 .budget = &budget_,
                 .crash_guard = &crash_guard_,
                 .run_locks = &run_locks_,
                 .relays = &relays_,
                 .reachability = &reachability_,
                 .on_model_request =
                     [this](const ModelId& model,
                            Rank rank,
                            TokenCount prompt_tokens) {
                       controller_.OnRequest(model, rank, prompt_tokens);
                     }},
                random_,
                events_) {}

Duration GatewayCore::InitialReadSpread() const {
  if (!view_.routes() || !view_.has_overview()) {
    return Duration();
  }
  return settings_.read_spread_per_node *
         static_cast<std::int64_t>(view_.serving_nodes());
}

GatewayActions GatewayCore::SetOwnAddresses(Time now,
                                            const Address& callers,
                                            const Address& peers) {
  settings_.self.caller_address = callers;
  settings_.self.peer_address = peers;
  settings_.self.operator_address = peers;
  Apply(GatewayModule::kLease, lease_.SetRecord(now, settings_.self));
  return TakeActions();
}

GatewayActions GatewayCore::Tick(Time now) {
  first_tick_ = first_tick_.value_or(now);
  UpdateFollowing(now);
  Apply(mirror_.Tick(now));
  UpdateLostEvidence(now);
  Apply(GatewayModule::kLease, lease_.Tick(now));
  UpdateRole(now);
  UpdateReplicas(now);
  UpdateReachability(now);
  selector_.Tick(now);
  for (const ForwardId id : forwards_.FindHedgeable(now)) {
    actions_.emplace_back(HedgeForward{id});
  }
  for (auto& [id, step] : forwards_.ResumeWaiting(now)) {
    actions_.emplace_back(ContinueForward{id, std::move(step)});
  }
  for (const Replica& replica : selector_.TakeSuspectedStalls()) {
    QueryStallWitnesses({replica.vm, replica.generation});
  }
  for (const Replica& replica : selector_.TakePathChecks()) {
    actions_.emplace_back(
        CheckEndpoint{.purpose = CheckPurpose::kPath,
                      .vm = replica.vm,
                      .address = replica.address,
                      .timeout = reachability_.check_timeout()});
  }
  AnnounceStalls(now);
  NotifyLimits(now);
  crash_guard_.Tick(now, reachability_.is_suspected());
  run_lock_table_.Tick(now);
  run_locks_.Tick(now);
  UpdateRunLocks(now);
  RunCrashGuard(now);
  RunController(now);
  WriteOverview(now);
  ReportRetryBudgets(now);
  QueryWitnessesForController(now);
  return TakeActions();
}

GatewayActions GatewayCore::OnStoreReply(Time now,
                                         GatewayModule module,
                                         StoreCallId id,
                                         const StoreReply& reply) {
  switch (module) {
    case GatewayModule::kMirror:
      Apply(mirror_.OnStoreReply(now, id, reply));
      UpdateLostEvidence(now);
      UpdateReplicas(now);
      RunController(now);
      break;
    case GatewayModule::kLease:
      Apply(GatewayModule::kLease, lease_.OnStoreReply(now, id, reply));
      break;
    case GatewayModule::kRoles:
      Apply(GatewayModule::kRoles, roles_.OnStoreReply(now, id, reply));
      RunController(now);
      break;
    case GatewayModule::kController:
      Apply(controller_.OnStoreReply(now, id, reply));
      RunController(now);
      break;
    case GatewayModule::kOverview:
      overview_.OnStoreReply(id, reply);
      break;
    case GatewayModule::kCrashGuard:
      crash_guard_.OnStoreReply(now, id, reply);
      break;
  }
  return TakeRequestActions(now);
}

GatewayActions GatewayCore::OnSnapshot(Time now,
                                       const MirrorSnapshot& snapshot) {
  mirror_.OnPeerSnapshot(now, snapshot);
  UpdateReplicas(now);
  return TakeRequestActions(now);
}

GatewayActions GatewayCore::OnStallNotice(Time now, const StallNotice& notice) {
  if (notice.is_unreachable) {
    controller_.OnHeadUnreachable(notice.head, notice.generation);
    RunController(now);
    return TakeActions();
  }
  selector_.OnPeerStall(now, notice.head, notice.generation);
  controller_.OnGroupStalled(notice.head, notice.generation);
  RunController(now);
  return TakeActions();
}

void GatewayCore::NotifyLimits(Time now) {
  for (const LimitNotice& notice : selector_.TakeLimitNotices(now)) {
    for (Address& address : DrawOtherNodes(settings_.notice_fanout)) {
      actions_.emplace_back(NotifyLimit{std::move(address), notice});
    }
  }
}

void GatewayCore::UpdateRetryShare(Time now) {
  if (mirror_.loaded()) {
    retry_share_.Update(now, view_.nodes().size(),
                        view_.nodes().contains(settings_.self.id),
                        mirror_.complete_at());
  }
  budget_.Update(now, retry_share_.Parts(now));
  retry_share_updated_ = now;
}

void GatewayCore::RefreshRetryShare(Time now) {
  if (now - retry_share_updated_ > settings_.max_tick_delay) {
    UpdateRetryShare(now);
  }
}

Duration GatewayCore::Age(Time now) const {
  return first_tick_ ? now - *first_tick_ : Duration();
}

void GatewayCore::ReportRetryBudgets(Time now) {
  if (now < next_retry_report_) {
    return;
  }
  next_retry_report_ = now + settings_.retry_report_interval;
  for (const RetryBudgetStatus& budget : budget_.Report(now)) {
    RetryBudgetStatus& reported = reported_budgets_[budget.service];
    const std::int64_t spent = budget.total_spent - reported.total_spent;
    const std::int64_t denied = budget.total_denied - reported.total_denied;
    const std::int64_t uncounted =
        budget.total_uncounted - reported.total_uncounted;
    reported = budget;
    if (spent + denied + uncounted == 0) {
      continue;
    }
    events_(
        {EventKind::kRetryBudgetUsed,
         budget.service.value(),
         {},
         {{"spent", spent},
          {"denied", denied},
          {"uncounted", uncounted},
          {"window_spent", budget.spent},
          {"window_requests", budget.requests},
          {"available", budget.available},
          {"capacity", budget.capacity},
          {"share_nodes", static_cast<std::int64_t>(retry_share_nodes(now))},
          {"age_ms", Age(now).millis()}}});
  }
}

GatewayActions GatewayCore::OnLimitNotice(Time now, const LimitNotice& notice) {
  selector_.OnLimitNotice(now, notice);
  return TakeActions();
}

GatewayActions GatewayCore::OnProgressReply(Time now,
                                            const StallNotice& group,
                                            Duration ago) {
  selector_.OnPeerProgress(now, group.head, group.generation, ago);
  crash_guard_.OnContactElsewhere(group.head, now - ago);
  return TakeActions();
}

std::optional<Duration> GatewayCore::ProgressAge(
    Time now,
    const StallNotice& group) const {
  const auto progress = selector_.LocalProgress(group.head, group.generation);
  return progress ? std::optional(now - *progress) : std::nullopt;
}

void GatewayCore::QueryStallWitnesses(const StallNotice& group) {
  for (Address& address : DrawOtherNodes(settings_.max_stall_witnesses)) {
    actions_.emplace_back(RequestGroupProgress{std::move(address), group});
  }
}

// A controller that has no stream at a group does not see by itself whether the
// group makes progress, and closing a group that is only full would cut off
// every stream that it runs.
void GatewayCore::QueryWitnessesForController(Time now) {
  if (now < next_witness_query_ || !is_controller(now)) {
    return;
  }
  next_witness_query_ = now + settings_.witness_query_interval;
  for (const auto& [head, generation] : controller_.StalledGroups()) {
    QueryStallWitnesses({head, generation});
  }
}

GatewayActions GatewayCore::OnOrderReply(Time now,
                                         OrderId id,
                                         GroupOrderResult result) {
  controller_.OnOrderReply(now, id, result);
  RunController(now);
  return TakeActions();
}

GatewayActions GatewayCore::OnProbeReply(Time now,
                                         const VmId& vm,
                                         const ProbeReport& report) {
  controller_.OnProbeReply(now, vm, report);
  RunController(now);
  return TakeActions();
}

GatewayActions GatewayCore::OnCheckReply(Time now,
                                         const CheckEndpoint& check,
                                         ProbeResult result) {
  const bool was_cut = reachability_.is_cut();
  const bool is_reached =
      result != ProbeResult::kRefused && result != ProbeResult::kUnreachable;
  switch (check.purpose) {
    case CheckPurpose::kCrash:
      crash_guard_.OnCheckReply(now, check.vm, result);
      break;
    case CheckPurpose::kReach:
      reachability_.OnCheckReply(now, check.vm, result);
      OnReachabilityChanged(was_cut);
      break;
    case CheckPurpose::kPath:
      selector_.OnPathCheck(check.vm, is_reached);
      AnnounceStalls(now);
      break;
  }
  if (result == ProbeResult::kUnreachable) {
    // A request on an idle connection would hang without a sign.
    actions_.emplace_back(DropPooledConnections{check.address});
  }
  return TakeRequestActions(now);
}

void GatewayCore::AnnounceStalls(Time now) {
  for (const Replica& replica : selector_.TakeStalledReplicas()) {
    const StallNotice notice{replica.vm, replica.generation};
    controller_.OnGroupStalled(notice.head, notice.generation);
    for (const Address& address : OtherNodeAddresses()) {
      actions_.emplace_back(NotifyNode{address, notice});
    }
  }
  const NodeId holder = view_.HolderOf(RoleName(std::string(kControllerRole)));
  const auto controller = view_.nodes().find(holder);
  for (const Replica& replica : selector_.TakeUnreachableReplicas()) {
    if (is_controller(now)) {
      controller_.OnHeadUnreachable(replica.vm, replica.generation);
    } else if (controller != view_.nodes().end()) {
      actions_.emplace_back(NotifyNode{controller->second.peer_address,
                                       {replica.vm, replica.generation, true}});
    }
  }
}

GatewayActions GatewayCore::OnCrashNotices(
    Time now,
    const std::vector<CrashNotice>& notices) {
  crash_guard_.OnNotices(now, notices);
  return TakeRequestActions(now);
}

GatewayActions GatewayCore::TakeRequestActions(Time now) {
  UpdateRunLocks(now);
  RunCrashGuard(now);
  return TakeActions();
}

void GatewayCore::UpdateLostEvidence(Time now) {
  if (!mirror_.reachable()) {
    started_in_outage_ = !mirror_.loaded();
  } else if (std::exchange(started_in_outage_, false)) {
    crash_guard_.OnEvidenceLost(now);
  }
}

void GatewayCore::RunCrashGuard(Time now) {
  // A trial that no endpoint takes is passed on to the next copy that waits.
  for (auto decisions = crash_guard_.TakeDecisions(); !decisions.empty();
       decisions = crash_guard_.TakeDecisions()) {
    for (const CrashDecision& decision : decisions) {
      actions_.emplace_back(
          ContinueForward{decision.id, forwards_.OnDecision(now, decision)});
    }
  }
  for (CheckEndpoint& check : crash_guard_.TakeChecks()) {
    actions_.emplace_back(std::move(check));
  }
  for (const VmId& vm : crash_guard_.TakeWitnessQueries()) {
    QueryStallWitnesses({vm, selector_.GenerationOf(vm)});
  }
  for (StoreRequest& request : crash_guard_.TakeStoreRequests()) {
    actions_.emplace_back(
        CallGatewayStore{GatewayModule::kCrashGuard, std::move(request)});
  }
  const std::vector<CrashNotice> notices = crash_guard_.TakeNotices(now);
  if (!notices.empty()) {
    for (Address& address : DrawOtherNodes(settings_.notice_fanout)) {
      actions_.emplace_back(NotifyCrashes{std::move(address), notices});
    }
  }
}

void GatewayCore::OnStopRequested(Time now,
                                  std::optional<Duration> grace_period) {
  if (stop_requested_at_) {
    return;
  }
  stop_requested_at_ = now;
  settings_.stop_grace_period =
      grace_period.value_or(settings_.stop_grace_period);
  events_({EventKind::kNodeDraining, settings_.self.id.value(), {}, {}});
  forwards_.BeginDrain(now + DrainPeriod());
  NodeRecord record = settings_.self;
  record.leaving = true;
  Apply(GatewayModule::kLease, lease_.SetRecord(now, std::move(record)));
}

Duration GatewayCore::DrainMargin() const {
  return std::min(settings_.stop_margin, settings_.stop_grace_period / 4);
}

Duration GatewayCore::DrainPeriod() const {
  return settings_.stop_grace_period - DrainMargin();
}

bool GatewayCore::is_drain_over(Time now) const {
  return stop_requested_at_ && now - *stop_requested_at_ >= DrainPeriod();
}

bool GatewayCore::is_grace_over(Time now) const {
  return stop_requested_at_ &&
         now - *stop_requested_at_ >= DrainPeriod() + DrainMargin() / 2;
}

bool GatewayCore::is_drain_complete(Time now) const {
  return is_drain_over(now) ||
         (stop_requested_at_ &&
          now - *stop_requested_at_ >= settings_.min_drain_time &&
          forwards_.open_requests() == 0);
}

GatewayActions GatewayCore::EndOpenRequests(Time now) {
  for (auto& [id, step] : forwards_.EndAll(now)) {
    actions_.emplace_back(EndForward{id, std::move(step)});
  }
  return TakeRequestActions(now);
}

ForwardAdmission GatewayCore::OnArrived(Time now, ForwardRequest request) {
  if (!traffic_seen_) {
    traffic_seen_ = true;
    controller_.OnTraffic();
  }
  if (refuses_callers(now)) {
    return RefuseArrival(request, RefusalKind::kDraining);
  }
  if (request.relay) {
    if (const auto refusal = FindRelayRefusal(now)) {
      return RefuseArrival(request, *refusal);
    }
  }
  return forwards_.OnArrived(now, std::move(request), view_.routes());
}

bool GatewayCore::refuses_callers(Time now) const {
  return stop_requested_at_ &&
         now - *stop_requested_at_ >=
             std::min(settings_.drain_accept_period, DrainPeriod() / 2);
}

RouteExplanation GatewayCore::ExplainRoute(Time now,
                                           const RouteQuery& query) const {
  RouteExplanation explanation = forwards_.Explain(now, query, view_.routes());
  if (refuses_callers(now)) {
    explanation.refusal = RefusalKind::kDraining;
    explanation.relay_node.reset();
  }
  return explanation;
}

ForwardStep GatewayCore::OnEnded(Time now,
                                 ForwardId id,
                                 const ForwardEnd& end) {
  RefreshRetryShare(now);
  return forwards_.OnEnded(now, id, end);
}

std::vector<Address> GatewayCore::AdvertisedAddresses() const {
  std::vector<Address> addresses;
  if (!stopping()) {
    addresses.push_back(settings_.self.caller_address);
  }
  const std::map<NodeId, Address> nodes = view_.CallerAddresses();
  auto next = nodes.upper_bound(settings_.self.id);
  for (std::size_t i = 0; i < nodes.size() &&
                          addresses.size() < settings_.max_advertised_addresses;
       ++i) {
    if (next == nodes.end()) {
      next = nodes.begin();
    }
    const auto& [id, address] = *next++;
    if (id != settings_.self.id) {
      addresses.push_back(address);
    }
  }
  return addresses;
}

bool GatewayCore::is_controller(Time now) const {
  return roles_.Held(RoleName(std::string(kControllerRole)), now).has_value();
}

void GatewayCore::UpdateRole(Time now) {
  const RoleName role{std::string(kControllerRole)};
  const NodeId holder = view_.HolderOf(role);
  const bool can_take_role = !stopping() && !controller_.is_fenced() &&
                             mirror_.loaded() && !reachability_.is_cut();
  const bool holds_role = roles_.Held(role, now) || holder == settings_.self.id;
  bool wants_role = can_take_role && holds_role && !ShouldHandOver(now, holder);
  if (!can_take_role || wants_role || !mirror_.reachable() || !holder.empty()) {
    role_free_since_.reset();
  } else {
    if (!role_free_since_) {
      role_free_since_ = now;
    }
    wants_role = now - *role_free_since_ >=
                 settings_.role_candidate_delay * RoleRank(role);
  }
  std::set<RoleName> desired;
  if (wants_role) {
    desired.insert(role);
  }
  Apply(GatewayModule::kRoles, roles_.SetDesired(now, std::move(desired)));
}

std::int64_t GatewayCore::RoleRank(const RoleName& role) const {
  const std::int64_t own_weight = settings_.self.weight;
  std::int64_t higher_weight_nodes = 0;
  std::vector<NodeId> equal_weight_nodes = {settings_.self.id};
  for (const auto& [id, node] : view_.nodes()) {
    if (node.leaving || id == settings_.self.id) {
      continue;
    }
    higher_weight_nodes += node.weight > own_weight ? 1 : 0;
    if (node.weight == own_weight) {
      equal_weight_nodes.push_back(id);
    }
  }
  const auto order = RendezvousOrder(role.value(), equal_weight_nodes,
                                     equal_weight_nodes.size());
  return higher_weight_nodes +
         (std::find(order.begin(), order.end(), settings_.self.id) -
          order.begin());
}

bool GatewayCore::ShouldHandOver(Time now, const NodeId& holder) {
  const bool has_better_controller =
      holder == settings_.self.id && mirror_.reachable() &&
      std::any_of(view_.nodes().begin(), view_.nodes().end(),
                  [this](const auto& entry) {
                    const NodeRecord& node = entry.second;
                    return !node.leaving && node.weight > settings_.self.weight;
                  });
  if (!has_better_controller) {
    if (better_controller_since_ &&
        now - *better_controller_since_ >= settings_.role_handover_delay) {
      handed_over_at_ = now;
    }
    better_controller_since_.reset();
    return false;
  }
  if (handed_over_at_ &&
      now - *handed_over_at_ < settings_.role_handover_interval) {
    return false;
  }
  if (!better_controller_since_) {
    better_controller_since_ = now;
  }
  return now - *better_controller_since_ >= settings_.role_handover_delay;
}

void GatewayCore::RunController(Time now) {
  const std::optional<HeldRole> held =
      roles_.Held(RoleName(std::string(kControllerRole)), now);
  mirror_.SetEager(held.has_value());
  controller_.SetRole(now, held);
  if (held) {
    Apply(controller_.Tick(now, view_));
    crash_guard_.RemoveExpired(now);
  }
}

void GatewayCore::WriteOverview(Time now) {
  if (!is_controller(now) || !view_.routes()) {
    return;
  }
  if (std::optional<StoreRequest> request =
          overview_.Tick(now, [this] { return DescribeFleet(); })) {
    actions_.emplace_back(
        CallGatewayStore{GatewayModule::kOverview, *std::move(request)});
  }
}

FleetOverview GatewayCore::DescribeFleet() const {
  FleetOverview overview;
  for (const auto& [id, vm] : view_.vms()) {
    const std::optional<Replica> replica = MakeReplica(vm);
    if (replica && replica->accepts_requests) {
      overview.endpoints.push_back(vm);
      // It changes all the time, and a starting node soon reads the entry.
      overview.endpoints.back().warm_up_left = Duration();
    }
  }
  overview.nodes = view_.CallerAddresses();
  return overview;
}

std::vector<Address> GatewayCore::OtherNodeAddresses() const {
  std::vector<Address> addresses;
  for (const auto& [id, node] : view_.nodes()) {
    if (id != settings_.self.id) {
      addresses.push_back(node.peer_address);
    }
  }
  return addresses;
}

void GatewayCore::Apply(std::vector<StoreMirrorAction> actions) {
  for (StoreMirrorAction& action : actions) {
    std::visit(
        [this](auto& variant_action) { Apply(std::move(variant_action)); },
        action);
  }
}

void GatewayCore::Apply(StoreRequest request) {
  actions_.emplace_back(
      CallGatewayStore{GatewayModule::kMirror, std::move(request)});
}

std::vector<Address> GatewayCore::DrawOtherNodes(std::size_t count) const {
  std::vector<Address> others = OtherNodeAddresses();
  const std::size_t drawn = std::min(others.size(), count);
  for (std::size_t i = 0; i < drawn; ++i) {
    std::swap(others[i], others[i + DrawBelow(random_, others.size() - i)]);
  }
  others.resize(drawn);
  return others;
}

std::optional<Address> GatewayCore::PickRandomNode() const {
  std::vector<Address> others = OtherNodeAddresses();
  if (others.empty()) {
    others = settings_.seeds;
    std::erase(others, settings_.self.peer_address);
  }
  if (others.empty()) {
    return std::nullopt;
  }
  return others[DrawBelow(random_, others.size())];
}

void GatewayCore::Apply(const RequestPeerSnapshot& request) {
  if (const std::optional<Address> address = PickRandomNode()) {
    actions_.emplace_back(RequestNodeSnapshot{*address, request.newer_than});
  }
}

void GatewayCore::Apply(
    GatewayModule module,
    const std::vector<std::variant<StoreRequest>>& actions) {
  for (const auto& action : actions) {
    actions_.emplace_back(
        CallGatewayStore{module, std::get<StoreRequest>(action)});
  }
}

void GatewayCore::Apply(std::vector<FleetControllerAction> actions) {
  for (FleetControllerAction& action : actions) {
    if (auto* request = std::get_if<StoreRequest>(&action)) {
      actions_.emplace_back(
          CallGatewayStore{GatewayModule::kController, std::move(*request)});
    } else if (auto* order = std::get_if<SendGroupOrder>(&action)) {
      actions_.emplace_back(std::move(*order));
    } else {
      actions_.emplace_back(std::get<ProbeEngine>(std::move(action)));
    }
  }
}

GatewayActions GatewayCore::TakeActions() {
  return std::exchange(actions_, {});
}

}  // namespace gcw
