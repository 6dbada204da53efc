#ifndef COORDINATION_GATEWAY_GATEWAY_CORE_H_
#define COORDINATION_GATEWAY_GATEWAY_CORE_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "coordination/gateway/crash_guard.h"
#include "coordination/gateway/fleet_controller.h"
#include "coordination/gateway/fleet_share.h"
#include "coordination/gateway/fleet_view.h"
#include "coordination/gateway/forward_controller.h"
#include "coordination/gateway/gateway_keys.h"
#include "coordination/gateway/overview_writer.h"
#include "coordination/gateway/reachability_monitor.h"
#include "coordination/gateway/relay_selector.h"
#include "coordination/gateway/replica_selector.h"
#include "coordination/gateway/run_locks/run_lock_client.h"
#include "coordination/gateway/run_locks/run_lock_table.h"
#include "coordination/gateway/shared_retry_budget.h"
#include "coordination/gateway/store_mirror.h"
#include "coordination/roles/node_lease.h"
#include "coordination/roles/role_leases.h"

namespace gcw {

// The intervals are short because there is only one role, and groups are not
// repaired while no node holds it.
inline RoleLeasesSettings DefaultRoleSettings() {
  RoleLeasesSettings settings;
  // The mirror shows the role's key, also if the key is bound to this node's
  // lease without the node knowing; the node then wants the role and reads it.
  settings.read_when_idle = false;
  settings.retry_interval = Duration::Millis(400);
  settings.call_timeout = Duration::Millis(1000);
  settings.backoff = {Duration::Millis(150), Duration::Millis(800)};
  return settings;
}

struct GatewaySettings {
  NodeRecord self;
  // Peer addresses from the settings. Some may be stale.
  std::vector<Address> seeds;
  NodeLeaseSettings lease = {.time_to_live = Duration::Millis(1800),
                             .renew_interval = Duration::Millis(500),
                             .margin = Duration::Millis(300),
                             .call_timeout = Duration::Millis(700),
                             .backoff = {.initial = Duration::Millis(150),
                                         .maximum = Duration::Millis(800)},
                             .relaxed_time_to_live = Duration::Millis(6000),
                             .relaxed_renew_interval = Duration::Millis(2000),
                             .relaxed_backoff = Duration::Millis(2500)};
  RoleLeasesSettings roles = DefaultRoleSettings();
  StoreMirrorSettings mirror;
  FleetControllerSettings controller;
  OverviewWriterSettings overview;
  ReplicaSelectorSettings selector;
  SharedRetryBudgetSettings retries;
  FleetShareSettings retry_share;
  CrashGuardSettings crashes;
  RunLockSettings run_locks;
  ForwardControllerSettings requests;
  ReachabilityMonitorSettings reachability;
  RelaySelectorSettings relays;
  // Maximum number of open requests that other nodes have passed on to this
  // one. It bounds the memory where few nodes reach the endpoints.
  std::size_t max_accepted_relays = 512;
  // A node whose tick comes this late has too little processor time for its own
  // callers, and accepts no requests of other nodes for `relay_pause`.
  Duration max_tick_delay = Duration::Millis(300);
  Duration relay_pause = Duration::Millis(500);
  // Interval at which used budgets for retries are logged.
  Duration retry_report_interval = Duration::Seconds(1);
  // How long callers may cache the list of addresses; some cache it three times
  // as long. While all nodes are down a look-up blocks for a second, so the
  // less often callers look up, the fewer of them come back a second late. This
  // raised the share of the requests' worth that is served in the two seconds
  // after a power loss of all nodes from 0.42 to 0.49 (simulated, 9 nodes).
  Duration advertised_addresses_ttl = Duration::Seconds(5);
  // Maximum number of addresses in that list.
  std::size_t max_advertised_addresses = 64;
  // Interval between two choices of the node to follow. A node that does not
  // answer is replaced at once.
  Duration follow_review_interval = Duration::Millis(500);
  // Number of other nodes, drawn at random, that are asked whether a group that
  // seems stalled makes progress for them. Most nodes have streams at a group
  // that is in use.
  std::size_t max_stall_witnesses = 8;
  // Number of other nodes, drawn at random, that a node tells what is new of an
  // endpoint's limit or of a request that crashes endpoints. These pass it on,
  // so that all hear of it after a few rounds and no node sends more in a
  // larger fleet.
  std::size_t notice_fanout = 4;
  // Interval at which the controller repeats that question until it has
  // decided.
  Duration witness_query_interval = Duration::Millis(150);
  // The preferred node tries to take a free controller role at once, and each
  // further node this much later, so that not all nodes ask for it.
  Duration role_candidate_delay = Duration::Millis(120);
  // This many nodes, the first in that order, keep short leases so that their
  // loss shows soon, because one of them holds the role. In a larger fleet the
  // other nodes' calls make up most calls to the service.
  std::int64_t role_candidates = 16;
  // A node relaxes once it has known the fleet for this long, because right
  // after a start it sees only a part of the other nodes.
  Duration relax_delay = Duration::Seconds(5);
  // If the overview is enough to serve requests, a starting node reads all
  // other keys after a random delay of at most this long for each node of the
  // fleet. After a loss of all nodes, sending all keys to every node takes the
  // service seconds.
  Duration read_spread_per_node = Duration::Millis(10);
  // The controller hands its role over once a node of larger weight has been
  // known for this long, which is longer than the entry of a lost node stays.
  Duration role_handover_delay = Duration::Millis(2500);
  // Minimum time between two such handovers of one node. An entry of a node
  // that does not exist may promise a weight that no node has.
  Duration role_handover_interval = Duration::Seconds(60);
  // A node accepts requests for this long after a planned stop has begun.
  // Requests that come later could still run when the node has to end, and
  // would be cut off. It should be longer than callers cache the addresses if
  // they keep to the time they are given.
  Duration drain_accept_period = Duration::Millis(2900);
  // Minimum time of a planned stop. After it, the node ends as soon as no
  // request is open. It should be long enough for the callers that cache
  // addresses for longest to look up again. When all nodes were stopped two at
  // a time, 0.8 s apart, this raised the served share of the requests' worth
  // from 0.82 to 0.99 (simulated, 8 nodes).
  Duration min_drain_time = Duration::Millis(3200);
  // The platform kills a node this long after it told it to stop.
  Duration stop_grace_period = Duration::Seconds(8);
  // The part of the grace period that is reserved for sending the last answers;
  // at most a quarter of it.
  Duration stop_margin = Duration::Millis(600);
};

// The part of the core that called the key-value service.
enum class GatewayModule {
  kMirror,
  kLease,
  kRoles,
  kController,
  kOverview,
  kCrashGuard
};

struct CallGatewayStore {
  GatewayModule module = GatewayModule::kMirror;
  StoreRequest request;
};
// Asks the node at the address for a snapshot of its mirror.
struct RequestNodeSnapshot {
  Address address;
  Revision newer_than;
};
// Asks the node at the address for the changes after a revision.
struct RequestNodeChanges {
  StoreCallId id;
  Address address;
  Revision after;
  Duration wait;
  Duration timeout;
};
// Identifies a stalled group in messages between nodes.
struct StallNotice {
  VmId head;
  Generation generation;
  // The sender reaches the first member no more, so it cannot tell whether the
  // group is stalled.
  bool is_unreachable = false;
};
struct NotifyNode {
  Address address;
  StallNotice notice;
};
// Asks the node at the address whether the group makes progress for it.
struct RequestGroupProgress {
  Address address;
  StallNotice group;
};
// Tells the node at the address what an endpoint said of its limit.
struct NotifyLimit {
  Address address;
  LimitNotice notice;
};
// Tells the node at the address of requests that crash endpoints.
struct NotifyCrashes {
  Address address;
  std::vector<CrashNotice> notices;
};
// Asks the node at the address, which owns the lock, for it.
struct ClaimRunLock {
  Address owner;
  RunLockClaim claim;
};
// Gives the lock back to the node at the address.
struct ReleaseRunLock {
  Address owner;
  RunLockRelease release;
};
// Replies to another node's claim.
struct AnswerRunLockClaim {
  RunLockClaimId id;
  RunLockReply reply;
};
// Asks the node at the address which endpoints it reaches.
struct QueryReach {
  Address address;
};
// Performs the next step of a request that waited.
struct ContinueForward {
  ForwardId id;
  ForwardStep step;
};
// Ends the request, whose attempt may run, with a final step.
struct EndForward {
  ForwardId id;
  ForwardStep step;
};
// The request's attempt is silent: a second one may start beside it, see
// GatewayCore::StartSecondAttempt.
struct HedgeForward {
  ForwardId id;
};
// The request's attempt is lost: another one may replace it, see
// GatewayCore::FailOver.
struct FailOverForward {
  ForwardId id;
};

// Drops the connections to the address, which lead to a previous run of the VM.
struct DropPooledConnections {
  Address address;
};

using GatewayAction = std::variant<CallGatewayStore,
                                   RequestNodeSnapshot,
                                   RequestNodeChanges,
                                   ChangesReply,
                                   NotifyNode,
                                   RequestGroupProgress,
                                   NotifyLimit,
                                   CheckEndpoint,
                                   NotifyCrashes,
                                   ClaimRunLock,
                                   ReleaseRunLock,
                                   AnswerRunLockClaim,
                                   QueryReach,
                                   ContinueForward,
                                   EndForward,
                                   SendGroupOrder,
                                   ProbeEngine,
                                   HedgeForward,
                                   FailOverForward,
                                   DropPooledConnections>;
using GatewayActions = std::vector<GatewayAction>;

// Makes the decisions of one node on a platform whose store holds the
// configuration and the endpoints. Like NodeCore it does no input or output and
// is driven by events with their times, on one thread. Every action that asks
// for something is answered by a call of the matching `On...`, or never. See
// docs/CORE.md.
class GatewayCore {
 public:
  struct Codecs {
    FleetCodec fleet;
    DomainRecordCodec domain_record;
    CrashRecordCodec crash_record;
    std::function<std::string(const NodeRecord&)> encode_node;
    // Unused if `fleet.overview_key` is empty.
    std::function<std::string(const FleetOverview&)> encode_overview;
  };

  GatewayCore(GatewaySettings settings,
              const Codecs& codecs,
              Random random,
              EventSink events);
  GatewayCore(const GatewayCore&) = delete;
  GatewayCore& operator=(const GatewayCore&) = delete;

  // Sets where callers and other nodes reach this node, once its ports are
  // known.
  GatewayActions SetOwnAddresses(Time now,
                                 const Address& callers,
                                 const Address& peers);
  GatewayActions Tick(Time now);
  GatewayActions OnStoreReply(Time now,
                              GatewayModule module,
                              StoreCallId id,
                              const StoreReply& reply);
  GatewayActions OnSnapshot(Time now, const MirrorSnapshot& snapshot);
  // Handles a follower's request for changes; ChangesReply replies to it.
  GatewayActions OnChangesRequest(Time now, const ChangesRequest& request);
  // `changes` is absent if the asked node did not answer or could not tell.
  GatewayActions OnChangesReply(Time now,
                                StoreCallId id,
                                const std::optional<MirrorChanges>& changes);
  GatewayActions OnStallNotice(Time now, const StallNotice& notice);
  GatewayActions OnLimitNotice(Time now, const LimitNotice& notice);
  // Another node saw the group make progress `ago` before `now`.
  GatewayActions OnProgressReply(Time now,
                                 const StallNotice& group,
                                 Duration ago);
  // Returns how long ago this node saw the group make progress, for the reply
  // to another node.
  std::optional<Duration> ProgressAge(Time now, const StallNotice& group) const;
  GatewayActions OnOrderReply(Time now, OrderId id, GroupOrderResult result);
  GatewayActions OnProbeReply(Time now,
                              const VmId& vm,
                              const ProbeReport& report);
  // The endpoint's process accepted or refused a new connection.
  GatewayActions OnCheckReply(Time now,
                              const CheckEndpoint& check,
                              ProbeResult result);
  GatewayActions OnCrashNotices(Time now,
                                const std::vector<CrashNotice>& notices);
  // Another node claims a lock that this node owns; AnswerRunLockClaim replies.
  GatewayActions OnRunLockClaim(Time now, const RunLockClaim& claim);
  GatewayActions OnRunLockRelease(Time now, const RunLockRelease& release);
  // The owner replies to ClaimRunLock, or does not answer.
  GatewayActions OnRunLockReply(Time now,
                                const RunLockClaim& claim,
                                const RunLockReply& reply);
  // Returns which endpoints this node reaches, for the reply to another node.
  ReachReport Reach(Time now) const;
  // The node at the address replies to QueryReach.
  GatewayActions OnReachReport(Time now,
                               const Address& node,
                               const ReachReport& report);
  // `grace_period` replaces the one of the settings if it is given.
  void OnStopRequested(Time now,
                       std::optional<Duration> grace_period = std::nullopt);

  // Returns the actions that events of requests, which return a step, led to.
  GatewayActions TakeRequestActions(Time now);

  // Requests under which endpoints crashed, and how long they stay blocked.
  std::vector<CrashBlock> CrashBlocks(Time now) const {
    return crash_guard_.Blocks(now);
  }
  // Allows a request that was blocked; returns false if nothing is known of it.
  bool LiftCrashBlock(Time now, Fingerprint fingerprint) {
    return crash_guard_.Lift(now, fingerprint);
  }
  std::size_t blocked_requests(Time now) const {
    return crash_guard_.blocked_requests(now);
  }
  std::size_t suspected_requests(Time now) const {
    return crash_guard_.suspected_requests(now);
  }

  ForwardAdmission OnArrived(Time now, ForwardRequest request);
  ForwardStep OnEnded(Time now, ForwardId id, const ForwardEnd& end);
  void OnProgress(Time now, ForwardId id) { forwards_.OnProgress(now, id); }
  void OnReport(Time now, ForwardId id, const EndpointReport& report) {
    forwards_.OnReport(now, id, report);
  }
  // The endpoint reports in an answer that came through another node.
  void OnRelayedReport(Time now,
                       ForwardId id,
                       const VmId& endpoint,
                       const EndpointReport& report) {
    forwards_.OnRelayedReport(now, id, endpoint, report);
  }
  void OnCallerGone(Time now, ForwardId id) { forwards_.OnCallerGone(now, id); }
  // See ForwardController.
  std::optional<SendForward> StartSecondAttempt(Time now,
                                                ForwardId id,
                                                const ForwardEnd& silent) {
    RefreshRetryShare(now);
    return forwards_.StartSecondAttempt(now, id, silent);
  }
  void OnSecondAttemptWon(Time now, ForwardId id) {
    forwards_.OnSecondAttemptWon(now, id);
  }
  void OnSecondAttemptEnded(Time now, ForwardId id, const ForwardEnd& end) {
    forwards_.OnSecondAttemptEnded(now, id, end);
  }
  void OnSecondAttemptReport(Time now,
                             ForwardId id,
                             const EndpointReport& report) {
    forwards_.OnSecondAttemptReport(now, id, report);
  }
  std::optional<ForwardStep> FailOver(Time now,
                                      ForwardId id,
                                      const ForwardEnd& silent) {
    RefreshRetryShare(now);
    return forwards_.FailOver(now, id, silent);
  }

  // Addresses for callers: this node's, then those of the nodes that follow it
  // in the order of their names. In a fleet with more nodes than one list
  // holds, every address is then listed equally often.
  std::vector<Address> AdvertisedAddresses() const;
  Duration advertised_addresses_ttl() const {
    return settings_.advertised_addresses_ttl;
  }
  bool ready() const { return view_.routes() != nullptr && !stopping(); }
  bool stopping() const { return stop_requested_at_.has_value(); }
  // Whether a planned stop is complete, so that the process may end.
  bool is_drain_complete(Time now) const;
  // Whether the open requests of a planned stop have to be ended, so that their
  // callers get an answer before the process ends.
  bool is_drain_over(Time now) const;
  // Whether the process has to end now.
  bool is_grace_over(Time now) const;
  // Ends all open requests; EndForward performs their final steps.
  GatewayActions EndOpenRequests(Time now);
  std::size_t open_requests() const { return forwards_.open_requests(); }
  std::size_t limited_endpoints() const {
    return selector_.limited_endpoints();
  }
  std::size_t held_endpoints() const { return selector_.held_endpoints(); }
  // The data centres whose endpoints get no requests.
  std::vector<ZoneEvacuation> Evacuations(Time now) const {
    return view_.evacuated_zones().Report(now);
  }
  // Returns where a request of a caller would go now, and why.
  RouteExplanation ExplainRoute(Time now, const RouteQuery& query) const;
  // Groups of models whose requests differ in rank, if this node is the
  // controller.
  std::vector<ModelPlacement> Placements() const {
    return controller_.Placements(view_);
  }
  std::vector<ModelLoad> ModelLoads(Time now) const {
    return selector_.ModelLoads(now);
  }
  std::int64_t rejected_with_room() const {
    return selector_.rejected_with_room();
  }
  std::size_t cold_endpoints(Time now) const {
    return selector_.warm_up().CountCold(now);
  }
  // Number of cold endpoints that this node may send requests to.
  std::size_t cold_endpoints_of_node(Time now) const {
    return selector_.warm_up().CountOwn(now);
  }
  // Whether this node has lost its paths to all endpoints.
  bool is_cut() const { return reachability_.is_cut(); }
  // Number of open requests that run through other nodes, and of those that
  // other nodes passed on to this one.
  std::size_t relayed_requests() const { return forwards_.relayed_requests(); }
  std::size_t accepted_relays() const { return forwards_.accepted_relays(); }
  const DeferralCounts& deferral_counts() const {
    return forwards_.deferral_counts();
  }
  const FleetView& view() const { return view_; }
  const StoreMirror& mirror() const { return mirror_; }
  std::vector<RetryBudgetStatus> RetryBudgets(Time now) const {
    return budget_.Report(now);
  }
  // Into how many parts the nodes divide the slack of the retry budgets; zero
  // while this node has no part.
  std::size_t retry_share_nodes(Time now) const {
    return retry_share_.Parts(now).value_or(0);
  }
  // Time since this process began to work.
  Duration Age(Time now) const;
  bool is_controller(Time now) const;
  // Absent if this node knows nothing newer.
  std::optional<MirrorSnapshot> Snapshot(Revision newer_than) const {
    return mirror_.Snapshot(newer_than);
  }

 private:
  void Apply(std::vector<StoreMirrorAction> actions);
  void Apply(StoreRequest request);
  void Apply(const RequestPeerSnapshot& request);
  void Apply(const RequestPeerChanges& request);
  void Apply(ChangesReply answer);
  void Apply(GatewayModule module,
             const std::vector<std::variant<StoreRequest>>& actions);
  void Apply(std::vector<FleetControllerAction> actions);
  void UpdateFollowing(Time now);
  // Relaxes this node's lease and copy if it need not take the role soon.
  void UpdateRelaxation(Time now);
  // Returns the node of this data centre that this node is to follow, or an
  // empty id if it has to watch the service itself.
  NodeId ChooseFollowed(Time now);
  // `node` is this node or one that the view shows.
  std::int64_t WeightOf(const NodeId& node) const;
  // Estimates how many nodes watch the service, from this node's view of the
  // fleet.
  std::size_t CountWatchers() const;
  // How many of a data centre's `nodes` watch the service. The number grows
  // with the data centre, so that no watcher has more followers.
  std::size_t WatcherCountFor(std::size_t nodes) const;
  void UpdateRole(Time now);
  // Returns this node's place in the order in which nodes take the role. Nodes
  // of larger weight, which have more processor time, come first: the
  // controller's work grows with the activity of the whole fleet, and late
  // decisions cost groups.
  std::int64_t RoleRank(const RoleName& role) const;
  // Whether this node, which holds the role in its own view, should hand it
  // over to a node of larger weight.
  bool ShouldHandOver(Time now, const NodeId& holder);
  void UpdateReplicas(Time now);
  void RunController(Time now);
  // Returns the time over which a starting node may spread the reading of the
  // keys that it does not read first. Zero if it needs them at once.
  Duration InitialReadSpread() const;
  // Notices that this node started without a copy of what other nodes know of
  // crashes.
  void UpdateLostEvidence(Time now);
  // Takes the actions of the crash guard.
  void RunCrashGuard(Time now);
  // Takes the actions of both sides of run locks.
  void UpdateRunLocks(Time now);
  // Returns false if neither side had anything to do.
  bool ExchangeRunLocks(Time now);
  void SendRunLockClaim(Time now, const RunLockClient::OutgoingClaim& claim);
  void SendRunLockRelease(Time now,
                          const RunLockClient::OutgoingRelease& release);
  // Returns the address of the node that owns the request's run lock.
  Address ChooseRunLockOwner(Fingerprint fingerprint) const;
  void WriteOverview(Time now);
  FleetOverview DescribeFleet() const;
  void QueryStallWitnesses(const StallNotice& group);
  // Tells other nodes of stalled groups, and the controller of groups whose
  // first members this node does not reach.
  void AnnounceStalls(Time now);
  void QueryWitnessesForController(Time now);
  void NotifyLimits(Time now);
  // Brings this node's part of the retries up to date with its view.
  void UpdateRetryShare(Time now);
  // The same if the last tick is long ago, as in a process that stood still.
  void RefreshRetryShare(Time now);
  // Reports which budgets for retries were used since the last report.
  void ReportRetryBudgets(Time now);
  // Checks whether this node reaches the endpoints, and asks other nodes.
  void UpdateReachability(Time now);
  void OnReachabilityChanged(bool was_cut);
  // The time of a planned stop in which requests may be finished.
  Duration DrainPeriod() const;
  Duration DrainMargin() const;
  // Whether a planned stop has gone on for so long that callers are refused.
  bool refuses_callers(Time now) const;
  // Why this node accepts no requests of other nodes; absent if it does.
  std::optional<RefusalKind> FindRelayRefusal(Time now) const;
  ForwardAdmission RefuseArrival(const ForwardRequest& request,
                                 RefusalKind kind);
  ZoneId ZoneOf(const Address& node) const;
  // Tells the selector which nodes accept requests.
  void UpdateNodes(Time now);
  std::vector<Address> OtherNodeAddresses() const;
  // Returns at most `count` other nodes, drawn at random.
  std::vector<Address> DrawOtherNodes(std::size_t count) const;
  // Returns another node at random, or a seed if no other node is known.
  std::optional<Address> PickRandomNode() const;
  std::vector<Replica> MakeReplicas() const;
  // Absent if the VM accepts no requests.
  std::optional<Replica> MakeReplica(const VmRegistration& vm) const;
  GatewayActions TakeActions();

  GatewaySettings settings_;
  Random random_;
  EventSink events_;
  FleetView view_;
  StoreMirror mirror_;
  NodeLease lease_;
  RoleLeases roles_;
  FleetController controller_;
  OverviewWriter overview_;
  ReplicaSelector selector_;
  FleetShare retry_share_;
  SharedRetryBudget budget_;
  CrashGuard crash_guard_;
  RunLockTable run_lock_table_;
  RunLockClient run_locks_;
  RelaySelector relays_;
  ReachabilityMonitor reachability_;
  ForwardController forwards_;

  // When the fleet was known for the first time.
  std::optional<Time> loaded_at_;
  // The followed node; empty if there is none.
  NodeId followed_node_;
  Address followed_address_;
  Time next_follow_review_;
  // Nodes that could not tell the changes, with the time until which they are
  // not asked.
  std::map<NodeId, Time> cooldown_until_;
  std::optional<Time> role_free_since_;
  // Since when a node of larger weight than this one is known.
  std::optional<Time> better_controller_since_;
  // When this node last handed the role over to such a node.
  std::optional<Time> handed_over_at_;
  Time next_witness_query_;
  std::uint64_t applied_configuration_changes_ = 0;
  std::uint64_t applied_node_changes_ = 0;
  std::optional<Time> first_tick_;
  std::optional<Time> last_tick_;
  Time retry_share_updated_;
  Time next_retry_report_;
  // The budgets at the last report.
  std::map<ServiceId, RetryBudgetStatus> reported_budgets_;
  // Until when this node accepts no requests of other nodes.
  Time relay_pause_until_;
  std::optional<Time> stop_requested_at_;
  bool traffic_seen_ = false;
  // The service was away, and no other node's copy was received, since the
  // start.
  bool started_in_outage_ = false;
  // This node's claims of locks that it owns itself, by their ids, which are
  // negative.
  std::map<RunLockClaimId, RunLockClaim> local_claims_;
  RunLockClaimId last_local_claim_;
  GatewayActions actions_;
};

}  // namespace gcw

#endif  // COORDINATION_GATEWAY_GATEWAY_CORE_H_
