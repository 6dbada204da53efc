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

#include "coordination/roles/role_assignment.h"
#include "state/state.h"

namespace gcw {

// Where the platform keeps what this system reads, and how it is spelled. The
// codecs live in a higher layer.
struct FleetCodec {
  std::string configuration_key;
  // Followed by the VM's id.
  std::string vm_prefix;
  // Empty where none is kept.
  std::string overview_key;
  // Absent where the text is not understood; the reason is logged.
  std::function<std::optional<FleetConfiguration>(std::string_view)>
      decode_configuration;
  std::function<std::optional<VmRegistration>(const VmId&, std::string_view)>
      decode_registration;
  std::function<std::optional<NodeRecord>(std::string_view)> decode_node;
  std::function<std::optional<FleetOverview>(std::string_view)> decode_overview;
};

// Registrations of one fabric domain. They stay where they are until the VM is
// removed.
using DomainVms = std::map<VmId, const VmRegistration*>;

// The typed picture that a node has of the fleet: configuration, endpoints'
// VMs, other nodes, holders of roles. It never goes back to an older version of
// the configuration while the process lives.
class FleetView {
 public:
  FleetView(FleetCodec codec, EventSink events);

  // All that there is has been learned. Before, VMs are not told of one by one,
  // and an overview stands in for what is still to come.
  void OnLearned(Revision revision);
  void OnPut(Time now, const StoreEntry& entry);
  void OnDeleted(Time now, const std::string& key);

  // Null until a configuration is known.
  std::shared_ptr<const RouteTable> routes() const { return routes_; }
  const std::map<VmId, VmRegistration>& vms() const { return vms_; }
  const VmRegistration* FindVm(const VmId& vm) const;
  // Registered VMs of the domain, by the name of its record.
  const DomainVms& VmsOf(const FabricDomainId& domain) const;
  const std::map<NodeId, NodeRecord>& nodes() const { return nodes_; }
  // Nodes that are not about to stop; at least 1.
  std::size_t serving_nodes() const;
  // Where callers reach the nodes that are not about to stop.
  std::map<NodeId, Address> CallerAddresses() const;
  bool has_overview() const { return !overview_nodes_.empty(); }
  // Empty where nobody holds the role.
  NodeId HolderOf(const RoleName& role) const;

  // VMs that were registered, changed or removed since the last call.
  std::set<VmId> TakeChangedVms();
  // Where VMs that started again under their ids since the last call are
  // reached.
  std::vector<Address> TakeRestartedVms();
  // Counts changes of the configuration.
  std::uint64_t configuration_changes() const { return configuration_changes_; }

 private:
  void OnConfiguration(const StoreEntry& entry);
  void OnOverview(const StoreEntry& entry);
  void OnRegistration(const VmId& vm, const StoreEntry& entry);
  void OnUnreadable(const VmId& vm);
  void OnNode(const NodeId& id, NodeRecord node);
  void RemoveNode(const NodeId& id);
  // False where it was not there.
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
  bool learned_ = false;
  // Known by an overview only: VMs, and the nodes of that overview.
  std::set<VmId> provisional_vms_;
  std::map<NodeId, Address> overview_nodes_;
  std::map<RoleName, NodeId> holders_;
  std::set<VmId> changed_vms_;
  std::vector<Address> restarted_vms_;
  // VMs whose entries name no run that can be used, as when something else
  // wrote them.
  std::set<VmId> unreadable_vms_;
  std::uint64_t configuration_changes_ = 0;
};

}  // namespace gcw

#endif  // COORDINATION_GATEWAY_FLEET_VIEW_H_
