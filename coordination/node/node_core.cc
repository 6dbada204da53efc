#include "coordination/node/node_core.h"

#include <utility>

namespace gcw {
namespace {

constexpr std::string_view kControllerRolePrefix = "keeper/";

// Domain records are replicated like configuration, by the same watches and the
// same exchange between nodes, because a node without them could open no group
// while the key-value service is unreachable.
ConfigSyncSettings WithDomainPrefix(ConfigSyncSettings settings) {
  settings.prefixes.emplace_back(kDomainPrefix);
  return settings;
}

// The record names the run of the process, so that the list in the key-value
// service and the messages between nodes carry the same version.
NodeCoreSettings WithIncarnation(NodeCoreSettings settings) {
  settings.self.incarnation = settings.incarnation;
  return settings;
}

// Returns a prefix that makes attempt ids unique across nodes and their runs.
std::string AttemptPrefix(const NodeCoreSettings& settings) {
  return settings.self.id.value() + "." +
         std::to_string(settings.incarnation.value()) + ".";
}

}  // namespace

NodeCore::NodeCore(NodeCoreSettings settings,
                   NodeCodecs codecs,
                   const Random& random,
                   EventSink events,
                   Time started)
    : settings_(WithIncarnation(std::move(settings))),
      codecs_(std::move(codecs)),
      events_(std::move(events)),
      lease_(NodeLease::Builder()
                 .SetSettings(settings_.lease)
                 .SetRecord(settings_.self)
                 .SetEncode(codecs_.node_record.encode)
                 .SetRandom(random)
                 .SetEventSink(events_)
                 .Build()),
      roles_(RoleLeases::Builder()
                 .SetSettings(settings_.roles)
                 .SetSelf(settings_.self.id)
                 .SetLease([this](Time now) { return lease_.Held(now); })
                 .SetRevisionFloor(
                     [this] { return configuration_->highest_revision(); })
                 .SetRandom(random)
                 .SetEventSink(events_)
                 .Build()),
      membership_(Membership::Builder()
                      .SetSettings(settings_.membership)
                      .SetSelf(settings_.self)
                      .SetSeeds(settings_.seeds)
                      .SetDecode(codecs_.node_record.decode)
                      .SetRandom(random)
                      .SetEventSink(events_)
                      .Build()),
      configuration_(ConfigSync::Builder()
                         .SetSettings(WithDomainPrefix(settings_.configuration))
                         .SetSelf(settings_.self.id, settings_.self.zone)
                         .SetCodec(codecs_.config_record)
                         .SetRandom(random)
                         .SetEventSink(events_)
                         .Build()),
      entries_(settings_.entries, settings_.self.id, random),
      limits_(Limits::Builder()
                  .SetSelf(settings_.self.id,
                           settings_.self.zone,
                           settings_.incarnation)
                  .SetSettings(settings_.limits)
                  .SetEventSink(events_)
                  .Build(started)),
      admission_(Admission::Builder()
                     .SetSettings(settings_.admission)
                     .SetRandom(random)
                     .SetEventSink(events_)
                     .SetLimits(&limits_)
                     .Build()),
      router_(RouterBuilder()
                  .SetSettings(settings_.router)
                  .SetRandom(random)
                  .SetEventSink(events_)
                  .Build()),
      retries_(settings_.retries),
      retry_after_(settings_.retry_after, random),
      once_client_(OnceClient::Builder()
                       .SetSelf(settings_.self.id, settings_.incarnation)
                       .SetSettings(settings_.once_client)
                       .SetEvents(events_)
                       .Build()),
      once_owner_(OnceOwner::Builder()
                      .SetSelf(settings_.self.id, settings_.incarnation)
                      .SetSettings(settings_.once_owner)
                      .SetRandom(random)
                      .SetEvents(events_)
                      .Build()),
      guard_(FingerprintGuard::Builder()
                 .SetSelf(settings_.self.id)
                 .SetSettings(settings_.guard)
                 .SetEvents(events_)
                 .Build()),
      gate_(ServingGate::Builder()
                .SetSelf(settings_.self.id,
                         settings_.incarnation,
                         settings_.self.zone)
                .SetSettings(settings_.gate)
                .SetEventSink(events_)
                .Build()),
      controller_(GroupController::Builder()
                      .SetZone(settings_.self.zone)
                      .SetSettings(settings_.controller)
                      .SetCodec(codecs_.domain_record)
                      .SetEventSink(events_)
                      .Build()),
      endpoints_(
          settings_.endpoints,
          settings_.self.id,
          settings_.self.zone,
          EndpointModules{&gate_, &controller_, router_.get(), &admission_}),
      requests_(settings_.requests,
                RequestModules{&admission_, router_.get(), once_client_.get(),
                               guard_.get(), &retries_, &retry_after_,
                               [this](Time now, const EndpointId& endpoint) {
                                 return gate_.IsOpen(now, endpoint);
                               }},
                AttemptPrefix(settings_),
                events_) {
  membership_.SetIncarnation(started, settings_.incarnation);
  requests_.SetRefusal(RefusalKind::kNotReady);
  events_(EventDraft{EventKind::kNodeStarted,
                     settings_.self.id.value(),
                     EventId(),
                     {{"incarnation", settings_.incarnation.value()}}});
}

NodeActions NodeCore::Handle(Time now, const NodeEvent& event) {
  std::visit([this, now](const auto& typed) { OnEvent(now, typed); }, event);
  while (!self_messages_.empty()) {
    const PeerMessage message = std::move(self_messages_.front());
    self_messages_.pop_front();
    std::visit(
        [this, now](const auto& body) { OnPeer(now, settings_.self.id, body); },
        message);
  }
  return std::exchange(actions_, {});
}

AdvertisedNodes NodeCore::AdvertisedAddresses() const {
  return entries_.SelectEntries(membership_.view());
}

IdempotencyKey NodeCore::IssueKey(Time now, const KeyDigest& key) {
  const Contract* contract = admission_.FindContract(key);
  if (contract == nullptr) {
    return IdempotencyKey();
  }
  return once_owner_->IssueKey(now, contract->id);
}

const Contract* NodeCore::FindContract(const KeyDigest& key) const {
  return admission_.FindContract(key);
}

std::vector<DomainRecord> NodeCore::Domains() const {
  std::vector<DomainRecord> records;
  for (const auto& [key, entry] : configuration_->store().entries()) {
    if (!key.starts_with(kDomainPrefix) || !entry.record.value) {
      continue;
    }
    if (std::optional<DomainRecord> record =
            codecs_.domain_record.decode(*entry.record.value)) {
      records.push_back(std::move(*record));
    }
  }
  return records;
}

void NodeCore::OnEvent(Time now, const TimePassed&) {
  CallStoreFor(NodeModule::kNodeLease, lease_.Tick(now));
  Apply(now, membership_.Tick(now));
  if (membership_.view_version() != handled_view_version_) {
    handled_view_version_ = membership_.view_version();
    OnViewChanged(now);
  }
  Apply(now, configuration_->Tick(now));
  UpdateRoles(now);
  CallStoreFor(NodeModule::kRoleLeases, roles_.Tick(now));
  PropagateHeldRoles(now);
  Apply(now, limits_.Tick(now));
  Apply(now, once_owner_->Tick(now));
  once_owner_->OnRevisionSeen(configuration_->highest_revision());
  once_client_->OnRevisionSeen(once_owner_->seen());
  Apply(now, endpoints_.Tick(now));
  Apply(now, requests_.OnOnceActions(now, once_client_->Tick(now)));
  Apply(now, requests_.OnGuardActions(now, guard_->Tick(now)));
  Apply(now, requests_.OnAdmissionActions(now, admission_.Tick(now)));
  router_->Tick(now);
  retries_.Tick(now);
  Apply(now, requests_.Tick(now));
  UpdateRefusal(now);
  AdvancePlannedStop(now);
}

void NodeCore::OnEvent(Time now, const CallerArrived& event) {
  Apply(now, requests_.OnArrived(now, event));
}

void NodeCore::OnEvent(Time now, const CallerDisconnected& event) {
  Apply(now, requests_.OnCallerGone(now, event.request));
}

void NodeCore::OnEvent(Time now, const AttemptFirstByte& event) {
  Apply(now, requests_.OnFirstByte(now, event));
}

void NodeCore::OnEvent(Time now, const AttemptEnded& event) {
  Apply(now, requests_.OnEnded(now, event));
}

void NodeCore::OnEvent(Time now, const StoreAnswered& event) {
  switch (event.module) {
    case NodeModule::kNodeLease:
      CallStoreFor(NodeModule::kNodeLease,
                   lease_.OnStoreReply(now, event.id, event.reply));
      break;
    case NodeModule::kRoleLeases:
      CallStoreFor(NodeModule::kRoleLeases,
                   roles_.OnStoreReply(now, event.id, event.reply));
      break;
    case NodeModule::kMembership:
      Apply(now, membership_.OnStoreReply(now, event.id, event.reply));
      break;
    case NodeModule::kConfiguration:
      Apply(now, configuration_->OnStoreReply(now, event.id, event.reply));
      break;
    case NodeModule::kOnceOwner:
      Apply(now, once_owner_->OnStoreReply(now, event.id, event.reply));
      break;
    case NodeModule::kGroupController:
      Apply(now, endpoints_.OnStoreReply(now, event.id, event.reply));
      break;
    case NodeModule::kServingGate:
    case NodeModule::kRequests:
      break;
  }
}

void NodeCore::OnEvent(Time now, const PeerReceived& event) {
  std::visit(
      [this, now, &event](const auto& body) { OnPeer(now, event.from, body); },
      event.message);
}

void NodeCore::OnEvent(Time now, const VmListRead& event) {
  Apply(now, endpoints_.OnVmList(now, event.snapshot));
}

void NodeCore::OnEvent(Time now, const ProbeAnswered& event) {
  if (event.module == NodeModule::kRequests) {
    Apply(now, requests_.OnProbeReply(now, event.id, event.reply));
    return;
  }
  Apply(now, endpoints_.OnProbeReply(now, event.module, event.id, event.reply));
}

void NodeCore::OnEvent(Time now, const OrderAnswered& event) {
  Apply(now, endpoints_.OnOrderReply(now, event.id, event.reply));
}

void NodeCore::OnEvent(Time now, const LoadReportRead& event) {
  Apply(now, endpoints_.OnLoadReport(now, event.report));
}

void NodeCore::OnEvent(Time now, const CacheEventsRead& event) {
  Apply(now, endpoints_.OnCacheEvents(now, event.endpoint, event.batch));
}

void NodeCore::OnEvent(Time, const WeightStoreRead& event) {
  controller_.OnWeightStoreWait(event.wait);
}

void NodeCore::OnEvent(Time now, const OperatorChange& event) {
  operator_calls_[event.change.id].push_back(event.call);
  Apply(now, configuration_->Propose(now, event.change));
}

void NodeCore::OnEvent(Time, const OperatorDrainGroup& event) {
  controller_.OnDrainRequested(event.group);
}

void NodeCore::OnEvent(Time now, const OperatorQueryRevision& event) {
  Apply(now, configuration_->RequestFloors(event.revision));
}

void NodeCore::OnEvent(Time now, const StopRequested&) {
  if (leaving_since_) {
    return;
  }
  leaving_since_ = now;
  events_(EventDraft{
      EventKind::kNodeDraining, settings_.self.id.value(), EventId(), {}});
  Apply(now, membership_.Leave(now));
  NodeRecord record = settings_.self;
  record.leaving = true;
  CallStoreFor(NodeModule::kNodeLease, lease_.SetRecord(now, record));
}

// Advances a planned stop. Callers that have this node's address cached are
// served until their copies have expired, and no request is cut off.
void NodeCore::AdvancePlannedStop(Time now) {
  if (!leaving_since_ || stopped_ ||
      now < entries_.ServeUntil(*leaving_since_) ||
      requests_.open_requests() > 0) {
    return;
  }
  limits_.Leave();
  Apply(now, once_owner_->Release(now));
  if (!once_owner_->released() || !roles_.HeldRoles(now).empty()) {
    return;
  }
  stopped_ = true;
  CallStoreFor(NodeModule::kNodeLease, lease_.Release(now));
  events_(EventDraft{
      EventKind::kNodeStopped, settings_.self.id.value(), EventId(), {}});
  actions_.emplace_back(StopNow{});
}

void NodeCore::UpdateRefusal(Time now) {
  if (leaving_since_ && now >= entries_.ServeUntil(*leaving_since_)) {
    requests_.SetRefusal(RefusalKind::kDraining);
    return;
  }
  if (!configuration_->ready()) {
    requests_.SetRefusal(RefusalKind::kNotReady);
    return;
  }
  requests_.SetRefusal(std::nullopt);
}

void NodeCore::OnViewChanged(Time now) {
  const View& view = membership_.view();
  configuration_->SetView(now, view);
  std::vector<OnceMember> once_members;
  std::vector<LimitPeer> limit_peers;
  for (const NodeId& node : view.Owners()) {
    const Member* member = view.Find(node);
    once_members.push_back(OnceMember{node, member->version.incarnation});
    limit_peers.push_back(LimitPeer{node, member->record.zone});
  }
  limits_.OnView(now, limit_peers);
  Apply(now, once_owner_->OnMembers(now, once_members));
  Apply(now, requests_.OnOnceActions(
                 now, once_client_->OnMembers(now, std::move(once_members))));
  guard_->OnMembers(now, view.Owners());
  Apply(now, endpoints_.OnView(now, view));
}

void NodeCore::UpdateRoles(Time now) {
  std::set<RoleName> controllers;
  for (const FabricDomainId& domain : endpoints_.domains()) {
    controllers.insert(
        RoleName(std::string(kControllerRolePrefix) + domain.value()));
  }
  std::set<RoleName> shards;
  for (std::int64_t shard = 0; shard < settings_.limits.shards; ++shard) {
    shards.insert(LimitRole(LimitShard(shard)));
  }
  std::set<RoleName> all = controllers;
  all.insert(shards.begin(), shards.end());
  roles_.SetFleet(std::move(all), membership_.view().Owners().size());
  std::set<RoleName> desired;
  if (configuration_->ready() && !leaving_since_) {
    const View& view = membership_.view();
    desired = RolesAssignedTo(settings_.self.id, controllers,
                              view.OwnersIn(settings_.self.zone));
    desired.merge(RolesAssignedTo(settings_.self.id, shards, view.Owners()));
  }
  RetainReleasingRoles(now, desired);
  CallStoreFor(NodeModule::kRoleLeases,
               roles_.SetDesired(now, std::move(desired)));
}

// Keeps held roles that are no longer desired until they may be released. A
// controller's successor waits for the previous lease to expire before its
// first order, so that a view that changes back and forth would leave a domain
// without repair. A limit role is released when no grant made under it is in
// force any more.
void NodeCore::RetainReleasingRoles(Time now, std::set<RoleName>& desired) {
  for (const RoleName& role : roles_.HeldRoles(now)) {
    if (desired.contains(role)) {
      releasing_.erase(role);
      continue;
    }
    const auto [release, is_new] =
        releasing_.try_emplace(role, now + settings_.role_release_delay);
    const std::optional<LimitShard> shard = LimitShardOf(role);
    if (is_new && shard) {
      release->second = limits_.PrepareRelease(now, *shard);
    }
    if (now < release->second) {
      desired.insert(role);
    }
  }
}

void NodeCore::PropagateHeldRoles(Time now) {
  std::map<RoleName, Time> held;
  for (const RoleName& role : roles_.HeldRoles(now)) {
    const HeldRole lease = *roles_.Held(role, now);
    const auto previous = announced_roles_.find(role);
    Time announced = now;
    if (previous != announced_roles_.end() &&
        now - previous->second < settings_.role_announcement_interval) {
      announced = previous->second;
    } else {
      AnnounceRole(role, lease.fence);
    }
    held.emplace(role, announced);
    if (const std::optional<LimitShard> shard = LimitShardOf(role)) {
      if (!releasing_.contains(role)) {
        limits_.OnRoleHeld(*shard, lease.fence, lease.valid_until);
      }
      limits_.OnOwner(*shard, settings_.self.id, lease.fence);
    } else if (role.value().starts_with(kControllerRolePrefix)) {
      controller_.OnRoleHeld(
          now,
          FabricDomainId(role.value().substr(kControllerRolePrefix.size())),
          lease.fence, lease.valid_until);
    }
  }
  for (const auto& [role, time] : announced_roles_) {
    if (held.contains(role)) {
      continue;
    }
    releasing_.erase(role);
    if (const std::optional<LimitShard> shard = LimitShardOf(role)) {
      limits_.OnRoleLost(*shard);
    } else if (role.value().starts_with(kControllerRolePrefix)) {
      controller_.OnRoleLost(
          FabricDomainId(role.value().substr(kControllerRolePrefix.size())));
    }
  }
  announced_roles_ = std::move(held);
}

void NodeCore::AnnounceRole(const RoleName& role, FencingToken fence) {
  if (LimitShardOf(role)) {
    membership_.Broadcast(RoleHolderDelta{role, fence});
  }
}

NodeCore::Builder& NodeCore::Builder::SetSettings(NodeCoreSettings settings) {
  settings_ = std::move(settings);
  return *this;
}

NodeCore::Builder& NodeCore::Builder::SetCodecs(NodeCodecs codecs) {
  codecs_ = std::move(codecs);
  return *this;
}

NodeCore::Builder& NodeCore::Builder::SetRandom(Random random) {
  random_ = std::move(random);
  return *this;
}

NodeCore::Builder& NodeCore::Builder::SetEventSink(EventSink events) {
  events_ = std::move(events);
  return *this;
}

std::unique_ptr<NodeCore> NodeCore::Builder::Build(Time started) const {
  return std::unique_ptr<NodeCore>(
      new NodeCore(settings_, codecs_, random_, events_, started));
}

}  // namespace gcw
