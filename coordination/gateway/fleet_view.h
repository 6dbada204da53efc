#ifndef COORDINATION_GATEWAY_FLEET_VIEW_H_
#define COORDINATION_GATEWAY_FLEET_VIEW_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "coordination/gateway/evacuation/evacuated_zones.h"
#include "coordination/roles/role_assignment.h"
#include "state/state.h"

namespace gcw {

// Keys of the platform's documents in the store, and the codecs for their
// values. The codecs live in a higher layer.
struct FleetCodec {
  std::string configuration_key;
  // The VM's id follows this prefix.
  std::string vm_prefix;
  // The name of an evacuated data centre follows this prefix; empty if
  // operators cannot evacuate any.
  std::string evacuation_prefix = {};
  // Empty if no overview is kept.
  std::string overview_key;
  // Decoders return an absent value if they cannot parse the text, and log the
  // reason.
  std::function<std::optional<FleetConfiguration>(std::string_view)>
      decode_configuration;
  std::function<std::optional<VmRegistration>(const VmId&, std::string_view)>
      decode_registration;
  std::function<std::optional<NodeRecord>(std::string_view)> decode_node;
  std::function<std::optional<FleetOverview>(std::string_view)> decode_overview;
};

// Registrations of one fabric domain. The pointers stay valid until the VM is
// removed.
using DomainVms = std::map<VmId, const VmRegistration*>;

// A node's typed view of the fleet: configuration, the endpoints' VMs, other
// nodes and role holders. The configuration never goes back to an older version
// while the process runs.
class FleetView {
 public:
  FleetView(FleetCodec codec, EventSink events);

  // Marks the end of the first full read. Until then, VMs are not reported one
  // by one, and the overview stands in for registrations that have not been
  // read.
  void OnFullyLoaded(Revision revision);
  void OnPut(Time now, const StoreEntry& entry);
  void OnDeleted(Time now, const std::string& key);

  // Null until a configuration is known.
  std::shared_ptr<const RouteTable> routes() const { return routes_; }
  const std::map<VmId, VmRegistration>& vms() const { return vms_; }
  const VmRegistration* FindVm(const VmId& vm) const;
  // Returns the registered VMs of the domain, which is named as in its record.
  const DomainVms& VmsInDomain(const FabricDomainId& domain) const;
  const std::map<NodeId, NodeRecord>& nodes() const { return nodes_; }
  // Number of nodes that are not about to stop; at least 1.
  std::size_t serving_nodes() const;
  // Returns the addresses at which callers reach the nodes that are not about
  // to stop.
  std::map<NodeId, Address> CallerAddresses() const;
  bool has_overview() const { return !overview_nodes_.empty(); }
  // Empty if no node holds the role.
  NodeId HolderOf(const RoleName& role) const;
  const EvacuatedZones& evacuated_zones() const { return evacuated_zones_; }
  // Whether requests may be sent to the VM's endpoint as far as evacuations
  // are concerned.
  bool IsEvacuated(const VmRegistration& vm) const {
    return evacuated_zones_.Contains(vm.zone);
  }

  // Number of entries that cannot be read.
  std::size_t unreadable_entries() const {
    return unreadable_vms_.size() + unreadable_keys_.size();
  }

  // Returns the VMs that were registered, changed or removed since the last
  // call.
  std::set<VmId> TakeChangedVms();
  // Returns the data centres whose evacuations ended since the last call.
  std::set<ZoneId> TakeRestoredZones();
  // Returns the addresses of VMs that restarted under their ids since the last
  // call.
  std::vector<Address> TakeRestartedAddresses();
  // Number of changes to the nodes so far.
  std::uint64_t node_changes() const { return node_changes_; }
  // Number of configurations applied so far.
  std::uint64_t configuration_changes() const { return configuration_changes_; }

 private:
  void OnConfiguration(const StoreEntry& entry);
  void OnOverview(const StoreEntry& entry);
  void OnRegistration(const VmId& vm, const StoreEntry& entry);
  // Reports the VMs of the data centre as changed.
  void MarkZoneChanged(const ZoneId& zone);
  // Returns the data centre that the key evacuates, if it does.
  std::optional<ZoneId> EvacuatedBy(std::string_view key) const;
  void OnUnreadableRegistration(const VmId& vm);
  // Remembers whether the entry can be read.
  void MarkReadable(const std::string& key, bool is_readable);
  void OnNode(const NodeId& id, NodeRecord node);
  void RemoveNode(const NodeId& id);
  // Returns false if the VM was not known.
  bool RemoveVm(const VmId& vm);
  void AddToDomain(const VmRegistration& vm);
  void RemoveFromDomain(const VmRegistration& vm);

  FleetCodec codec_;
  EventSink events_;
  std::shared_ptr<const RouteTable> routes_;
  std::map<VmId, VmRegistration> vms_;
  std::map<FabricDomainId, DomainVms> domains_;
  std::map<NodeId, NodeRecord> nodes_;
  std::size_t serving_nodes_ = 0;
  bool fully_loaded_ = false;
  // VMs that are known only from the overview, and the nodes of that overview.
  std::set<VmId> provisional_vms_;
  std::map<NodeId, Address> overview_nodes_;
  std::map<RoleName, NodeId> holders_;
  EvacuatedZones evacuated_zones_;
  std::set<ZoneId> restored_zones_;
  std::set<VmId> changed_vms_;
  std::vector<Address> restarted_addresses_;
  // VMs whose entries cannot be decoded, for example because something else
  // overwrote them.
  std::set<VmId> unreadable_vms_;
  // The same for other entries, by their keys.
  std::set<std::string> unreadable_keys_;
  std::uint64_t node_changes_ = 0;
  std::uint64_t configuration_changes_ = 0;
};

}  // namespace gcw

#endif  // COORDINATION_GATEWAY_FLEET_VIEW_H_
