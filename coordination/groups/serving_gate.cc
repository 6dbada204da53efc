#include "coordination/groups/serving_gate.h"

#include <algorithm>
#include <utility>

#include "coordination/rendezvous.h"

namespace gcw {

std::string_view CloseReasonName(CloseReason reason) {
  switch (reason) {
    case CloseReason::kVmMissing:
      return "vm_missing";
    case CloseReason::kStaleEvidence:
      return "stale_evidence";
    case CloseReason::kDraining:
      return "draining";
    case CloseReason::kLeaving:
      return "leaving";
    case CloseReason::kNewGeneration:
      return "new_generation";
    case CloseReason::kGone:
      return "gone";
    case CloseReason::kUnreachable:
      return "unreachable";
  }
  return "unknown";
}

ServingGate::Builder& ServingGate::Builder::SetSelf(NodeId self,
                                                    Incarnation incarnation,
                                                    ZoneId zone) {
  self_ = std::move(self);
  incarnation_ = incarnation;
  zone_ = std::move(zone);
  return *this;
}

ServingGate::Builder& ServingGate::Builder::SetSettings(GateSettings settings) {
  settings_ = settings;
  return *this;
}

ServingGate::Builder& ServingGate::Builder::SetEventSink(EventSink events) {
  events_ = std::move(events);
  return *this;
}

ServingGate ServingGate::Builder::Build() const {
  return ServingGate(self_, incarnation_, zone_, settings_, events_);
}

ServingGate::ServingGate(NodeId self,
                         Incarnation incarnation,
                         ZoneId zone,
                         GateSettings settings,
                         EventSink events)
    : self_(std::move(self)),
      incarnation_(incarnation),
      zone_(std::move(zone)),
      settings_(settings),
      events_(std::move(events)),
      prober_(settings.prober) {
  peers_[self_] = GatePeer{self_, zone_};
}

EndpointId ServingGate::EndpointOf(const GroupId& group) {
  return EndpointId(group.value());
}

std::vector<ServingGateAction> ServingGate::OnDomainRecord(
    Time now,
    const DomainRecord& record,
    Revision revision) {
  UpdateRecord(record.domain, record, revision);
  return RebuildEndpoints(now);
}

std::vector<ServingGateAction> ServingGate::OnDomainDeleted(
    Time now,
    const FabricDomainId& domain,
    Revision revision) {
  UpdateRecord(domain, std::nullopt, revision);
  return RebuildEndpoints(now);
}

void ServingGate::UpdateRecord(const FabricDomainId& domain,
                               std::optional<DomainRecord> record,
                               Revision revision) {
  DomainView& view = domains_[domain];
  if (revision > view.revision) {
    view = DomainView{std::move(record), revision};
  }
}

std::vector<ServingGateAction> ServingGate::OnVmList(
    Time now,
    const VmListSnapshot& snapshot) {
  // Reads of a lagging list may arrive out of order.
  if (snapshot.as_of < list_as_of_) {
    return {};
  }
  list_as_of_ = snapshot.as_of;
  listed_.clear();
  for (const VmEntry& entry : snapshot.vms) {
    vms_[entry.id] = entry;
    listed_.insert(entry.id);
  }
  return RebuildEndpoints(now);
}

std::vector<ServingGateAction> ServingGate::OnPeers(
    Time now,
    const std::vector<GatePeer>& peers) {
  peers_.clear();
  for (const GatePeer& peer : peers) {
    peers_[peer.id] = peer;
  }
  peers_[self_] = GatePeer{self_, zone_};
  std::erase_if(peer_presence_,
                [&](const auto& item) { return !peers_.contains(item.first); });
  ChooseTargets(now);
  return Review(now);
}

std::vector<ServingGateAction>
ServingGate::OnProbeReply(Time now, ProbeId id, const ProbeReply& reply) {
  prober_.OnReply(now, id, reply);
  return Review(now);
}

std::vector<ServingGateAction> ServingGate::OnPresenceReport(
    Time now,
    const NodeId& from,
    const PresenceReport& report) {
  if (from == self_ || !peers_.contains(from)) {
    return {};
  }
  PeerPresence& peer =
      peer_presence_.try_emplace(from, incarnation_).first->second;
  if (!peer.Apply(now, report)) {
    return {};
  }
  for (const PresenceEntry& entry : report.entries) {
    const auto it = endpoints_.find(entry.endpoint);
    if (it != endpoints_.end()) {
      it->second.reporters.insert(from);
    }
  }
  return Review(now);
}

void ServingGate::OnRequestStarted(const EndpointId& endpoint) {
  const auto it = endpoints_.find(endpoint);
  if (it != endpoints_.end()) {
    ++it->second.running;
  }
}

std::vector<ServingGateAction> ServingGate::OnRequestEnded(
    Time now,
    const EndpointId& endpoint) {
  const auto it = endpoints_.find(endpoint);
  if (it == endpoints_.end()) {
    return {};
  }
  --it->second.running;
  return Review(now);
}

std::vector<ServingGateAction> ServingGate::OnUnreachable(
    Time now,
    const EndpointId& endpoint) {
  const auto it = endpoints_.find(endpoint);
  if (it == endpoints_.end()) {
    return {};
  }
  it->second.unreachable_since = now;
  return Review(now);
}

std::vector<ServingGateAction> ServingGate::Tick(Time now) {
  std::vector<ServingGateAction> actions;
  for (ProbeVm& probe : prober_.Tick(now)) {
    actions.emplace_back(std::move(probe));
  }
  for (ServingGateAction& action : Review(now)) {
    actions.push_back(std::move(action));
  }
  SendReports(now, actions);
  return actions;
}

bool ServingGate::IsOpen(Time now, const EndpointId& endpoint) const {
  const auto it = endpoints_.find(endpoint);
  return it != endpoints_.end() && it->second.open &&
         now - it->second.evidence_time <= MaxAge(it->second);
}

Duration ServingGate::MaxAge(const TrackedEndpoint& tracked) const {
  return tracked.endpoint.zone == zone_ ? settings_.max_evidence_age
                                        : settings_.max_remote_evidence_age;
}

std::vector<ServingGateAction> ServingGate::RebuildEndpoints(Time now) {
  std::map<EndpointId, TrackedEndpoint> found;
  for (const auto& [domain, view] : domains_) {
    if (view.record) {
      AddGroups(*view.record, found);
    }
  }
  AddServices(found);
  std::vector<ServingGateAction> actions;
  for (auto& [id, tracked] : endpoints_) {
    tracked.exists = found.contains(id);
  }
  for (auto& [id, tracked] : found) {
    MergeEndpoint(std::move(tracked), actions);
  }
  ChooseTargets(now);
  for (ServingGateAction& action : Review(now)) {
    actions.push_back(std::move(action));
  }
  return actions;
}

void ServingGate::AddGroups(
    const DomainRecord& record,
    std::map<EndpointId, TrackedEndpoint>& found) const {
  for (const GroupRecord& group : record.groups) {
    TrackedEndpoint tracked;
    tracked.endpoint.id = EndpointOf(group.id);
    tracked.endpoint.group = group.id;
    tracked.endpoint.generation = group.generation;
    tracked.endpoint.model = group.model;
    tracked.draining = group.state == GroupState::kDraining;
    tracked.target.endpoint = tracked.endpoint.id;
    tracked.target.group = group.id;
    tracked.target.generation = group.generation;
    for (const VmId& vm : group.members) {
      const auto it = vms_.find(vm);
      const VmEntry entry = it == vms_.end() ? VmEntry() : it->second;
      tracked.target.members.push_back(GroupMember{vm, entry.address});
      tracked.leaving = tracked.leaving || entry.state == VmState::kLeaving;
      if (vm == group.members.front()) {
        tracked.endpoint.zone = entry.zone;
        tracked.endpoint.address = entry.address;
      }
    }
    found[tracked.endpoint.id] = std::move(tracked);
  }
}

void ServingGate::AddServices(
    std::map<EndpointId, TrackedEndpoint>& found) const {
  for (const VmId& vm : listed_) {
    const VmEntry& entry = vms_.at(vm);
    if (entry.purpose != VmPurpose::kPlainService) {
      continue;
    }
    TrackedEndpoint tracked;
    tracked.endpoint.id = EndpointId(vm.value());
    tracked.endpoint.service = entry.service;
    tracked.endpoint.zone = entry.zone;
    tracked.endpoint.address = entry.address;
    tracked.leaving = entry.state == VmState::kLeaving;
    tracked.target.endpoint = tracked.endpoint.id;
    tracked.target.purpose = VmPurpose::kPlainService;
    tracked.target.members.push_back(GroupMember{vm, entry.address});
    found[tracked.endpoint.id] = std::move(tracked);
  }
}

void ServingGate::MergeEndpoint(TrackedEndpoint&& found,
                                std::vector<ServingGateAction>& actions) {
  const auto [it, is_new] = endpoints_.try_emplace(found.endpoint.id);
  TrackedEndpoint& tracked = it->second;
  if (is_new) {
    tracked = std::move(found);
    for (const auto& [peer, presence] : peer_presence_) {
      if (presence.Find(tracked.endpoint.id)) {
        tracked.reporters.insert(peer);
      }
    }
    return;
  }
  if (tracked.endpoint != found.endpoint) {
    Close(tracked, CloseReason::kNewGeneration, actions);
    tracked.unreachable_since.reset();
  }
  tracked.endpoint = std::move(found.endpoint);
  tracked.target = std::move(found.target);
  tracked.draining = found.draining;
  tracked.leaving = found.leaving;
}

std::vector<NodeId> ServingGate::NodesOf(const ZoneId& zone) const {
  std::vector<NodeId> nodes;
  for (const auto& [id, peer] : peers_) {
    if (peer.zone == zone) {
      nodes.push_back(id);
    }
  }
  return nodes;
}

void ServingGate::ChooseTargets(Time now) {
  const std::vector<NodeId> nodes = NodesOf(zone_);
  const auto count = static_cast<std::size_t>(settings_.probers_per_endpoint);
  std::vector<ProbeTarget> targets;
  for (const auto& [id, tracked] : endpoints_) {
    if (!tracked.exists || tracked.endpoint.zone != zone_) {
      continue;
    }
    const std::vector<NodeId> probers =
        RendezvousOrder(id.value(), nodes, count);
    if (std::find(probers.begin(), probers.end(), self_) != probers.end()) {
      targets.push_back(tracked.target);
    }
  }
  prober_.SetTargets(now, targets);
}

}  // namespace gcw
