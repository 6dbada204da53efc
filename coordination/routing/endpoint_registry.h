#ifndef COORDINATION_ROUTING_ENDPOINT_REGISTRY_H_
#define COORDINATION_ROUTING_ENDPOINT_REGISTRY_H_

#include <map>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "coordination/admission/admission.h"
#include "coordination/groups/group_controller.h"
#include "coordination/groups/serving_gate.h"
#include "coordination/node/node_actions.h"
#include "coordination/routing/endpoint_subset.h"
#include "coordination/routing/load_exchange.h"
#include "coordination/routing/router.h"

namespace gcw {

struct EndpointRegistrySettings {
  EndpointSubsetSettings subset;
  LoadExchangeSettings load_exchange;
  // Intervals between reads of the platform's VM list and of the weight store.
  Duration vm_list_interval = Duration::Seconds(5);
  Duration weight_store_interval = Duration::Seconds(10);
  // Interval between reads of one endpoint's cache events.
  Duration cache_events_interval = Duration::Seconds(2);
};

// The modules that the registry coordinates. All of them outlive the registry.
struct EndpointModules {
  ServingGate* gate = nullptr;
  GroupController* controller = nullptr;
  Router* router = nullptr;
  Admission* admission = nullptr;
};

using EndpointRegistryAction = std::variant<NodeAction,
                                            PeerSend<PresenceReport>,
                                            PeerSend<LoadDigest>,
                                            std::vector<AdmissionAction>>;
using EndpointRegistryActions = std::vector<EndpointRegistryAction>;

// Tracks the endpoints that serve and their load. It feeds events to the
// serving gate, the group controller and the exchange of load reports, and
// passes their results on to the router and to admission.
class EndpointRegistry {
 public:
  EndpointRegistry(EndpointRegistrySettings settings,
                   const NodeId& self,
                   const ZoneId& zone,
                   EndpointModules modules);

  EndpointRegistryActions OnView(Time now, const View& view);
  EndpointRegistryActions OnDomainRecord(Time now,
                                         const DomainRecord& record,
                                         Revision revision);
  EndpointRegistryActions OnVmList(Time now, const VmListSnapshot& snapshot);
  EndpointRegistryActions OnProbeReply(Time now,
                                       NodeModule module,
                                       ProbeId id,
                                       const ProbeReply& reply);
  EndpointRegistryActions OnOrderReply(Time now,
                                       OrderId id,
                                       const OrderReply& reply);
  EndpointRegistryActions OnStoreReply(Time now,
                                       StoreCallId id,
                                       const StoreReply& reply);
  EndpointRegistryActions OnPresenceReport(Time now,
                                           const NodeId& from,
                                           const PresenceReport& report);
  EndpointRegistryActions OnLoadReport(Time now, const LoadReport& report);
  EndpointRegistryActions OnLoadDigest(Time now, const LoadDigest& digest);
  EndpointRegistryActions OnCacheEvents(Time now,
                                        const EndpointId& endpoint,
                                        const CacheEventBatch& batch);

  void OnRequestStarted(const EndpointId& endpoint);
  EndpointRegistryActions OnRequestEnded(Time now, const EndpointId& endpoint);
  // A request could not reach the endpoint.
  EndpointRegistryActions OnEndpointUnreachable(Time now,
                                                const EndpointId& endpoint);
  EndpointRegistryActions Tick(Time now);

  // The fabric domains of this node's zone that have appeared in a VM list.
  const std::set<FabricDomainId>& domains() const { return domains_; }
  std::size_t open_endpoints() const { return open_endpoints_.size(); }

 private:
  struct ReportedLoad {
    LoadReport report;
    // Requests that this node sent since `report` arrived.
    std::int64_t sent_after_report = 0;
  };
  struct CacheEventCursor {
    std::int64_t after = 0;
    Time next;
  };

  void Apply(Time now, std::vector<ServingGateAction> actions);
  void Apply(std::vector<GroupControllerAction> actions);
  void UpdateSubset(Time now);
  void ApplyLoadReport(Time now, const LoadReport& report);
  void UpdateCapacity(Time now);
  Headroom HeadroomOf(const std::vector<const Endpoint*>& endpoints) const;
  void RequestPlatformReads(Time now);
  EndpointRegistryActions TakeActions();

  EndpointRegistrySettings settings_;
  NodeLocation self_;
  EndpointModules modules_;
  LoadExchange load_exchange_;
  std::vector<NodeLocation> nodes_;
  std::set<FabricDomainId> domains_;
  // The endpoints whose serving gate is open, and the subset of them that this
  // node routes to.
  std::map<EndpointId, Endpoint> open_endpoints_;
  std::map<EndpointId, Endpoint> subset_;
  bool subset_is_stale_ = false;
  std::map<EndpointId, ReportedLoad> reports_;
  std::map<EndpointId, CacheEventCursor> cache_cursors_;
  bool capacity_is_stale_ = false;
  Time next_vm_list_;
  Time next_weight_store_;
  EndpointRegistryActions actions_;
};

}  // namespace gcw

#endif  // COORDINATION_ROUTING_ENDPOINT_REGISTRY_H_
