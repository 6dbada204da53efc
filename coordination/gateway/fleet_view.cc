#include "coordination/gateway/fleet_view.h"

#include <algorithm>
#include <utility>

#include "coordination/gateway/gateway_keys.h"
#include "coordination/gateway/group_membership.h"

namespace gcw {

FleetView::FleetView(FleetCodec codec, EventSink events)
    : codec_(std::move(codec)),
      events_(std::move(events)),
      evacuated_zones_(events_) {}

// Logs one event at a start rather than one for each VM: in a large fleet these
// would be most of the log, and cost processor time just when there is least.
void FleetView::OnFullyLoaded(Revision revision) {
  if (std::exchange(fully_loaded_, true)) {
    return;
  }
  overview_nodes_.clear();
  for (const VmId& vm : std::exchange(provisional_vms_, {})) {
    RemoveVm(vm);
  }
  events_({EventKind::kFleetSynced,
           {},
           {},
           {{"revision", revision.value()},
            {"vms", static_cast<std::int64_t>(vms_.size())},
            {"nodes", static_cast<std::int64_t>(nodes_.size())},
            {"version", routes_ ? routes_->configuration().version.value()
                                : std::int64_t{0}}}});
}

void FleetView::OnPut(Time now, const StoreEntry& entry) {
  const std::string_view key = entry.key;
  if (key.starts_with(codec_.vm_prefix)) {
    OnRegistration(VmId(entry.key.substr(codec_.vm_prefix.size())), entry);
  } else if (key == codec_.configuration_key) {
    OnConfiguration(entry);
  } else if (key == codec_.overview_key) {
    OnOverview(entry);
  } else if (const std::optional<ZoneId> zone = EvacuatedBy(key)) {
    if (evacuated_zones_.Add(now, *zone, entry.revision)) {
      MarkZoneChanged(*zone);
    }
  } else if (key.starts_with(kNodePrefix)) {
    std::optional<NodeRecord> node = codec_.decode_node(entry.value);
    MarkReadable(entry.key, node.has_value());
    if (node) {
      OnNode(NodeId(entry.key.substr(kNodePrefix.size())), *std::move(node));
    }
  } else if (key.starts_with(kRolePrefix)) {
    holders_.insert_or_assign(RoleName(entry.key.substr(kRolePrefix.size())),
                              NodeId(entry.value));
  }
}

void FleetView::OnDeleted(Time now, const std::string& key) {
  const std::string_view view = key;
  unreadable_keys_.erase(key);
  if (view.starts_with(codec_.vm_prefix)) {
    const VmId vm(key.substr(codec_.vm_prefix.size()));
    unreadable_vms_.erase(vm);
    if (RemoveVm(vm)) {
      events_({EventKind::kVmLost, vm.value(), {}, {}});
    }
  } else if (const std::optional<ZoneId> zone = EvacuatedBy(view)) {
    if (evacuated_zones_.Remove(now, *zone)) {
      restored_zones_.insert(*zone);
      MarkZoneChanged(*zone);
    }
  } else if (view.starts_with(kNodePrefix)) {
    RemoveNode(NodeId(key.substr(kNodePrefix.size())));
  } else if (view.starts_with(kRolePrefix)) {
    holders_.erase(RoleName(key.substr(kRolePrefix.size())));
  }
}

std::optional<ZoneId> FleetView::EvacuatedBy(std::string_view key) const {
  const std::string_view prefix = codec_.evacuation_prefix;
  if (prefix.empty() || !key.starts_with(prefix)) {
    return std::nullopt;
  }
  return ZoneId(std::string(key.substr(prefix.size())));
}

void FleetView::MarkZoneChanged(const ZoneId& zone) {
  for (const auto& [id, vm] : vms_) {
    if (vm.zone == zone) {
      changed_vms_.insert(id);
    }
  }
}

void FleetView::OnConfiguration(const StoreEntry& entry) {
  std::optional<FleetConfiguration> decoded =
      codec_.decode_configuration(entry.value);
  MarkReadable(entry.key, decoded.has_value());
  // If a document cannot be read, the last good one stays in force.
  if (!decoded) {
    return;
  }
  if (routes_ && decoded->version <= routes_->configuration().version) {
    return;
  }
  events_({EventKind::kConfigurationApplied,
           entry.key,
           {},
           {{"version", decoded->version.value()},
            {"revision", entry.revision.value()},
            {"routes", static_cast<std::int64_t>(decoded->routes.size())}}});
  routes_ = std::make_shared<const RouteTable>(*std::move(decoded));
  ++configuration_changes_;
}

void FleetView::OnOverview(const StoreEntry& entry) {
  if (fully_loaded_) {
    return;
  }
  std::optional<FleetOverview> overview = codec_.decode_overview(entry.value);
  MarkReadable(entry.key, overview.has_value());
  if (!overview) {
    return;
  }
  overview_nodes_ = std::move(overview->nodes);
  for (VmRegistration& endpoint : overview->endpoints) {
    const VmId vm = endpoint.id;
    if (vms_.emplace(vm, std::move(endpoint)).second) {
      provisional_vms_.insert(vm);
      changed_vms_.insert(vm);
    }
  }
}

void FleetView::OnRegistration(const VmId& vm, const StoreEntry& entry) {
  std::optional<VmRegistration> decoded =
      codec_.decode_registration(vm, entry.value);
  if (!decoded) {
    OnUnreadableRegistration(vm);
    return;
  }
  unreadable_vms_.erase(vm);
  provisional_vms_.erase(vm);
  const ServiceRule* service =
      routes_ ? routes_->FindService(decoded->service) : nullptr;
  if (service == nullptr || !service->has_warm_up_limit()) {
    // The time changes with each heartbeat, and would make each one news.
    decoded->warm_up_left = Duration();
  }
  const auto [known, is_new] = vms_.try_emplace(vm);
  if (!is_new && known->second == *decoded) {
    return;
  }
  if (is_new) {
    if (fully_loaded_) {
      events_({EventKind::kVmAppeared, vm.value(), {}, {}});
    }
  } else if (decoded->incarnation != known->second.incarnation) {
    restarted_addresses_.push_back(decoded->address);
    events_({EventKind::kVmRestarted,
             vm.value(),
             {},
             {{"incarnation", decoded->incarnation.value()}}});
  } else if (decoded->draining && !known->second.draining) {
    events_({EventKind::kEndpointLeaving, vm.value(), {}, {}});
  }
  RemoveFromDomain(known->second);
  known->second = *std::move(decoded);
  AddToDomain(known->second);
  changed_vms_.insert(vm);
}

// What was known of the VM came from an entry that no longer exists. Requests
// based on it would reach whatever wrote the new entry, if anything.
void FleetView::OnUnreadableRegistration(const VmId& vm) {
  if (unreadable_vms_.insert(vm).second) {
    events_({EventKind::kVmUnreadable, vm.value(), {}, {}});
  }
  RemoveVm(vm);
}

void FleetView::MarkReadable(const std::string& key, bool is_readable) {
  if (is_readable) {
    unreadable_keys_.erase(key);
  } else {
    unreadable_keys_.insert(key);
  }
}

void FleetView::OnNode(const NodeId& id, NodeRecord node) {
  RemoveNode(id);
  ++node_changes_;
  serving_nodes_ += node.leaving ? 0 : 1;
  nodes_.emplace(id, std::move(node));
}

void FleetView::RemoveNode(const NodeId& id) {
  const auto found = nodes_.find(id);
  if (found == nodes_.end()) {
    return;
  }
  ++node_changes_;
  serving_nodes_ -= found->second.leaving ? 0 : 1;
  nodes_.erase(found);
}

bool FleetView::RemoveVm(const VmId& vm) {
  const auto found = vms_.find(vm);
  if (found == vms_.end()) {
    return false;
  }
  RemoveFromDomain(found->second);
  vms_.erase(found);
  changed_vms_.insert(vm);
  return true;
}

void FleetView::AddToDomain(const VmRegistration& vm) {
  if (!vm.domain.empty()) {
    domains_[ScopedDomainId(vm)].emplace(vm.id, &vm);
  }
}

void FleetView::RemoveFromDomain(const VmRegistration& vm) {
  if (vm.domain.empty()) {
    return;
  }
  const auto domain = domains_.find(ScopedDomainId(vm));
  if (domain == domains_.end()) {
    return;
  }
  domain->second.erase(vm.id);
  if (domain->second.empty()) {
    domains_.erase(domain);
  }
}

const DomainVms& FleetView::VmsInDomain(const FabricDomainId& domain) const {
  static const DomainVms kNone;
  const auto found = domains_.find(domain);
  return found == domains_.end() ? kNone : found->second;
}

const VmRegistration* FleetView::FindVm(const VmId& vm) const {
  const auto found = vms_.find(vm);
  return found == vms_.end() ? nullptr : &found->second;
}

std::size_t FleetView::serving_nodes() const {
  return std::max({std::size_t{1}, serving_nodes_, overview_nodes_.size()});
}

std::map<NodeId, Address> FleetView::CallerAddresses() const {
  std::map<NodeId, Address> addresses = overview_nodes_;
  for (const auto& [id, node] : nodes_) {
    if (node.leaving) {
      addresses.erase(id);
    } else {
      addresses.insert_or_assign(id, node.caller_address);
    }
  }
  return addresses;
}

NodeId FleetView::HolderOf(const RoleName& role) const {
  const auto found = holders_.find(role);
  return found == holders_.end() ? NodeId() : found->second;
}

std::set<VmId> FleetView::TakeChangedVms() {
  return std::exchange(changed_vms_, {});
}

std::set<ZoneId> FleetView::TakeRestoredZones() {
  return std::exchange(restored_zones_, {});
}

std::vector<Address> FleetView::TakeRestartedAddresses() {
  return std::exchange(restarted_addresses_, {});
}

}  // namespace gcw
