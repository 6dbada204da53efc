#ifndef COORDINATION_NODE_NODE_CORE_H_
#define COORDINATION_NODE_NODE_CORE_H_

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "coordination/admission/admission.h"
#include "coordination/at_most_once/once_client.h"
#include "coordination/at_most_once/once_owner.h"
#include "coordination/configuration/config_sync.h"
#include "coordination/limits/limits.h"
#include "coordination/membership/membership.h"
#include "coordination/node/entry_directory.h"
#include "coordination/node/node_actions.h"
#include "coordination/node/node_events.h"
#include "coordination/node/node_keys.h"
#include "coordination/requests/fingerprint_guard.h"
#include "coordination/requests/request_pipeline.h"
#include "coordination/roles/node_lease.h"
#include "coordination/roles/role_assignment.h"
#include "coordination/roles/role_leases.h"
#include "coordination/routing/endpoint_registry.h"
#include "state/state.h"

namespace gcw {

// Encodings of values in the key-value service. The codecs are implemented in a
// higher layer.
struct NodeCodecs {
  NodeRecordCodec node_record;
  ConfigRecordCodec config_record;
  DomainRecordCodec domain_record;
  // Returns nothing if the text is not a valid contract.
  std::function<std::optional<Contract>(std::string_view)> decode_contract;
  std::function<std::optional<DesiredModel>(std::string_view)> decode_model;
};

struct NodeCoreSettings {
  NodeRecord self;
  // Identifies this run of the process; later runs have higher numbers.
  Incarnation incarnation;
  std::vector<NodeRecord> seeds;
  NodeLeaseSettings lease;
  RoleLeasesSettings roles;
  MembershipSettings membership;
  ConfigSyncSettings configuration;
  EntryDirectorySettings entries;
  LimitSettings limits;
  AdmissionSettings admission;
  RouterSettings router;
  RetryBudgetSettings retries;
  RetryAfterSettings retry_after;
  OnceClientSettings once_client;
  OnceOwnerSettings once_owner;
  FingerprintGuardSettings guard;
  GateSettings gate;
  GroupControllerSettings controller;
  EndpointRegistrySettings endpoints;
  RequestPipelineSettings requests;
  // How long this node keeps a controller role that is assigned to another
  // node.
  Duration role_release_delay = Duration::Seconds(10);
  // Interval between announcements of a held role, for nodes that joined after
  // the previous one.
  Duration role_announcement_interval = Duration::Seconds(20);
};

// Makes the decisions of one node: takes an event and the time and returns the
// actions to perform. It does no input or output and has no threads, so that
// the daemon and the tests drive it in the same way. See docs/CORE.md.
class NodeCore {
 public:
  class Builder;

  NodeCore(const NodeCore&) = delete;
  NodeCore& operator=(const NodeCore&) = delete;

  NodeActions Handle(Time now, const NodeEvent& event);

  // Returns the answer to `GET /v1/entries`.
  AdvertisedNodes AdvertisedAddresses() const;
  // Returns a key for `POST /v1/idempotency-keys`, or an empty one if no
  // contract has the digest `key`.
  IdempotencyKey IssueKey(Time now, const KeyDigest& key);

  // Accessors for the operators' pages.
  const Contract* FindContract(const KeyDigest& key) const;
  const NodeId& id() const { return settings_.self.id; }
  bool ready() const { return configuration_->ready(); }
  bool draining() const { return leaving_since_.has_value(); }
  bool store_reachable() const { return lease_.store_reachable(); }
  std::size_t open_requests() const { return requests_.open_requests(); }
  bool HasRequest(const RequestId& request) const {
    return requests_.Contains(request);
  }
  const View& view() const { return membership_.view(); }
  const ConfigSync& configuration() const { return *configuration_; }
  const OnceOwner& once_owner() const { return *once_owner_; }
  std::vector<ShareView> Shares(Time now) const {
    return limits_.ShareViews(now);
  }
  std::vector<EndpointStatus> Endpoints(Time now) const {
    return router_->Endpoints(now);
  }
  std::vector<RoleName> Roles(Time now) const { return roles_.HeldRoles(now); }
  // Returns the newest domain records that this node knows.
  std::vector<DomainRecord> Domains() const;
  std::int64_t queued(Tier tier) const { return admission_.queued(tier); }
  std::int64_t running(Tier tier) const { return admission_.running(tier); }

 private:
  NodeCore(NodeCoreSettings settings,
           NodeCodecs codecs,
           const Random& random,
           EventSink events,
           Time started);

  // Events.
  void OnEvent(Time now, const TimePassed& event);
  void OnEvent(Time now, const CallerArrived& event);
  void OnEvent(Time now, const CallerDisconnected& event);
  void OnEvent(Time now, const AttemptFirstByte& event);
  void OnEvent(Time now, const AttemptEnded& event);
  void OnEvent(Time now, const StoreAnswered& event);
  void OnEvent(Time now, const PeerReceived& event);
  void OnEvent(Time now, const VmListRead& event);
  void OnEvent(Time now, const ProbeAnswered& event);
  void OnEvent(Time now, const OrderAnswered& event);
  void OnEvent(Time now, const LoadReportRead& event);
  void OnEvent(Time now, const CacheEventsRead& event);
  void OnEvent(Time now, const WeightStoreRead& event);
  void OnEvent(Time now, const OperatorChange& event);
  void OnEvent(Time now, const OperatorDrainGroup& event);
  void OnEvent(Time now, const OperatorQueryRevision& event);
  void OnEvent(Time now, const StopRequested& event);

  // Messages from other nodes.
  void OnPeer(Time now, const NodeId& from, const MembershipMessage& message);
  void OnPeer(Time now, const NodeId& from, const ConfigMessage& message);
  void OnPeer(Time now, const NodeId& from, const LimitBatch& message);
  void OnPeer(Time now, const NodeId& from, const OnceMessage& message);
  void OnPeer(Time now, const NodeId& from, const GuardMessage& message);
  void OnPeer(Time now, const NodeId& from, const PresenceReport& message);
  void OnPeer(Time now, const NodeId& from, const LoadDigest& message);

  // Actions that the modules return.
  void CallStoreFor(NodeModule module,
                    std::vector<std::variant<StoreRequest>> actions);
  void Apply(Time now, std::vector<MembershipAction> actions);
  void Apply(Time now, std::vector<ConfigSyncAction> actions);
  void Apply(Time now, std::vector<LimitsAction> actions);
  void Apply(Time now, OnceOwnerActions actions);
  void Apply(Time now, EndpointRegistryActions actions);
  void Apply(Time now, RequestPipelineActions actions);

  void OnDelta(Time now, const DeltaReceived& received);
  void OnConfigApplied(Time now, const ConfigEntry& entry);
  void OnContractEntry(Time now, const ConfigEntry& entry);
  void OnModelEntry(const ConfigEntry& entry);
  void OnProposalFinished(const ProposalFinished& finished);
  void OnViewChanged(Time now);
  void UpdateRoles(Time now);
  void RetainReleasingRoles(Time now, std::set<RoleName>& desired);
  void PropagateHeldRoles(Time now);
  void AnnounceRole(const RoleName& role, FencingToken fence);
  void UpdateRefusal(Time now);
  void AdvancePlannedStop(Time now);
  void CallStoreFor(NodeModule module, StoreRequest request);
  // Messages to this node itself are queued and handled after the current
  // event.
  void Send(const NodeId& to, PeerMessage message);

  NodeCoreSettings settings_;
  NodeCodecs codecs_;
  EventSink events_;

  NodeLease lease_;
  RoleLeases roles_;
  Membership membership_;
  std::unique_ptr<ConfigSync> configuration_;
  EntryDirectory entries_;
  Limits limits_;
  Admission admission_;
  std::unique_ptr<Router> router_;
  RetryBudget retries_;
  RetryAfterPlanner retry_after_;
  std::unique_ptr<OnceClient> once_client_;
  std::unique_ptr<OnceOwner> once_owner_;
  std::unique_ptr<FingerprintGuard> guard_;
  ServingGate gate_;
  GroupController controller_;
  EndpointRegistry endpoints_;
  RequestPipeline requests_;

  std::uint64_t handled_view_version_ = 0;
  // Roles that were held at the last tick, with the time of their last
  // announcement.
  std::map<RoleName, Time> announced_roles_;
  // Held roles that are assigned to another node, with the time at which each
  // may be released.
  std::map<RoleName, Time> releasing_;
  std::map<std::string, DesiredModel> models_;
  std::map<ChangeId, std::vector<OperatorCallId>> operator_calls_;
  std::optional<Time> leaving_since_;
  bool stopped_ = false;
  std::deque<PeerMessage> self_messages_;
  NodeActions actions_;
};

class NodeCore::Builder {
 public:
  Builder& SetSettings(NodeCoreSettings settings);
  Builder& SetCodecs(NodeCodecs codecs);
  Builder& SetRandom(Random random);
  Builder& SetEventSink(EventSink events);
  // All codecs must be set.
  std::unique_ptr<NodeCore> Build(Time started) const;

 private:
  NodeCoreSettings settings_;
  NodeCodecs codecs_;
  Random random_ = SeededRandom(0);
  EventSink events_ = DiscardEvents();
};

}  // namespace gcw

#endif  // COORDINATION_NODE_NODE_CORE_H_
