#ifndef COORDINATION_GATEWAY_GATEWAY_CORE_H_
#define COORDINATION_GATEWAY_GATEWAY_CORE_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "coordination/gateway/fleet_keeper.h"
#include "coordination/gateway/fleet_view.h"
#include "coordination/gateway/forward_desk.h"
#include "coordination/gateway/gateway_keys.h"
#include "coordination/gateway/overview_writer.h"
#include "coordination/gateway/replica_selector.h"
#include "coordination/gateway/shared_retry_budget.h"
#include "coordination/gateway/store_mirror.h"
#include "coordination/roles/node_lease.h"
#include "coordination/roles/role_leases.h"

namespace gcw {

// There is one role, and groups are not repaired while nobody holds it.
inline RoleLeasesSettings RoleSettings() {
  RoleLeasesSettings settings;
  // The mirror shows a key that hangs on this node's lease without its
  // knowledge: the node wants the role then.
  settings.reads_idle = false;
  settings.retry_interval = Duration::Millis(400);
  settings.call_timeout = Duration::Millis(1000);
  settings.backoff = {Duration::Millis(150), Duration::Millis(800)};
  return settings;
}

struct GatewaySettings {
  NodeRecord self;
  // Peer addresses that the settings name; some may be stale.
  std::vector<Address> seeds;
  NodeLeaseSettings lease = {Duration::Millis(1800),
                             Duration::Millis(500),
                             Duration::Millis(300),
                             Duration::Millis(700),
                             {Duration::Millis(150), Duration::Millis(800)},
                             Duration::Millis(6000),
                             Duration::Millis(2000),
                             Duration::Millis(2500)};
  RoleLeasesSettings roles = RoleSettings();
  StoreMirrorSettings mirror;
  FleetKeeperSettings keeper;
  OverviewWriterSettings overview;
  ReplicaSelectorSettings selector;
  SharedRetryBudgetSettings retries;
  ForwardDeskSettings requests;
  // How long callers may keep the list of addresses; some keep it three times
  // as long. While all nodes are down a look-up hangs for a second: the more
  // seldom callers ask, the fewer come back that much later. Of the requests'
  // worth 0.49 rather than 0.42 was served in the two seconds after a loss of
  // power of all nodes (9 nodes, played).
  Duration entries_keep = Duration::Seconds(5);
  // Addresses in one such list at most.
  std::size_t most_entries = 64;
  // Between two choices of the node to follow; one that does not answer is left
  // at once.
  Duration follow_review = Duration::Millis(500);
  // Other nodes, drawn at random, that are asked whether a group that seems to
  // stand still goes on for them. A group in use has streams of most nodes.
  std::size_t standstill_witnesses = 8;
  // The keeper asks again after so long until it has decided.
  Duration witness_interval = Duration::Millis(250);
  // A free keeper's role is tried by the preferred node at once and by each
  // further one this much later, so that it is not asked for by all.
  Duration role_step = Duration::Millis(120);
  // As many nodes, first in that order, must show their loss soon, since one of
  // them has the role. In a larger fleet the others' calls to the service are
  // most of all.
  std::int64_t role_candidates = 16;
  // A node relaxes once it has known the fleet for so long: right after a start
  // it sees only a part of the others.
  Duration relax_after = Duration::Seconds(5);
  // Where an overview is enough to serve by, a start reads all other keys
  // within this time for each node of the fleet, at random. After a loss of all
  // nodes, all keys for every one of them take seconds to leave the service.
  Duration read_spread_per_node = Duration::Millis(10);
  // The keeper hands its role over to a node with more of a processor once one
  // has been known for so long: longer than the entry of a lost node stays.
  Duration role_hand_over_after = Duration::Millis(2500);
  // A node that stops by plan takes requests for this long: what came later
  // could still run when the node has to end, and would be cut. Longer than
  // callers keep the addresses where they keep them as asked.
  Duration stop_refuses_after = Duration::Millis(2900);
  // It ends sooner than it has to once no request is open, but not before:
  // those who keep addresses for longest have asked again by then. With all
  // nodes stopped by twos, 0.8 s apart, 0.99 of the requests' worth were served
  // rather than 0.82 (8 nodes, played).
  Duration stop_quiet_after = Duration::Millis(3200);
  // The platform ends a node that is told to stop after this time.
  Duration stop_grace = Duration::Seconds(8);
  // Left of it for the last answers on their way out.
  Duration stop_margin = Duration::Millis(600);
};

// The part of the core that asked the key-value service.
enum class GatewayModule { kMirror, kLease, kRoles, kKeeper, kOverview };

struct CallGatewayStore {
  GatewayModule module = GatewayModule::kMirror;
  StoreRequest request;
};
// Ask the node at that address for what its mirror has.
struct AskNodeSnapshot {
  Address address;
  Revision newer_than;
};
// Ask the node at that address for the changes after a revision.
struct AskNodeChanges {
  StoreCallId id;
  Address address;
  Revision after;
  Duration wait;
  Duration timeout;
};
// A group that stands still, told between nodes.
struct StandstillNotice {
  VmId head;
  Generation generation;
};
struct TellNode {
  Address address;
  StandstillNotice notice;
};
// Ask the node at that address whether the group goes on for it.
struct AskProgress {
  Address address;
  StandstillNotice group;
};
// End the request's attempt as kSilent; another endpoint can go on with it.
struct MoveForward {
  ForwardId id;
};

// Connections to that address lead to a run that is no more.
struct ForgetConnections {
  Address address;
};

using GatewayAction = std::variant<CallGatewayStore,
                                   AskNodeSnapshot,
                                   AskNodeChanges,
                                   AnswerChanges,
                                   TellNode,
                                   AskProgress,
                                   SendGroupOrder,
                                   ProbeEngine,
                                   MoveForward,
                                   ForgetConnections>;
using GatewayActions = std::vector<GatewayAction>;

// The decisions of one node on a platform whose store holds the configuration
// and the endpoints. Like NodeCore it does no input or output and is driven by
// events with their times, on one thread; every action that asks for something
// is answered by a call of the matching `On...`, or never. See docs/CORE.md.
class GatewayCore {
 public:
  struct Codecs {
    FleetCodec fleet;
    DomainRecordCodec domain_record;
    std::function<std::string(const NodeRecord&)> encode_node;
    // Unused where the fleet's codec names no key for it.
    std::function<std::string(const FleetOverview&)> encode_overview;
  };

  GatewayCore(GatewaySettings settings,
              const Codecs& codecs,
              Random random,
              EventSink events);
  GatewayCore(const GatewayCore&) = delete;
  GatewayCore& operator=(const GatewayCore&) = delete;

  // Where callers and other nodes reach this node, once its ports are known.
  GatewayActions SetOwnAddresses(Time now,
                                 const Address& callers,
                                 const Address& peers);
  GatewayActions Tick(Time now);
  GatewayActions OnStoreReply(Time now,
                              GatewayModule module,
                              StoreCallId id,
                              const StoreReply& reply);
  GatewayActions OnSnapshot(Time now, const MirrorSnapshot& snapshot);
  // A follower asks for changes; answered by AnswerChanges.
  GatewayActions OnChangesAsked(Time now, const ChangeQuestion& question);
  // Absent where the followed node did not answer or could not tell.
  GatewayActions OnChangesHeard(Time now,
                                StoreCallId id,
                                const std::optional<MirrorChanges>& changes);
  GatewayActions OnNotice(Time now, const StandstillNotice& notice);
  // Another node saw the group make progress that long ago.
  GatewayActions OnProgressHeard(Time now,
                                 const StandstillNotice& group,
                                 Duration ago);
  // How long ago this node saw the group make progress, for one that asks.
  std::optional<Duration> ProgressAge(Time now,
                                      const StandstillNotice& group) const;
  GatewayActions OnOrderReply(Time now, OrderId id, GroupOrderVerdict verdict);
  GatewayActions OnProbeReply(Time now,
                              const VmId& vm,
                              const ProbeReport& report);
  void OnStopAsked(Time now);

  ForwardBegun OnArrived(Time now, ForwardRequest request);
  ForwardStep OnEnded(Time now, ForwardId id, const ForwardEnd& end);
  void OnProgress(Time now, ForwardId id) { desk_.OnProgress(now, id); }
  void OnLoad(Time now, ForwardId id, const LoadReading& load) {
    desk_.OnLoad(now, id, load);
  }
  void OnCallerGone(Time now, ForwardId id) { desk_.OnCallerGone(now, id); }

  // Addresses for callers: this node's and those of the nodes after it in the
  // order of their names, so that in a fleet of more nodes than one answer
  // holds each is named as often as any other.
  std::vector<Address> Entries() const;
  Duration entries_keep() const { return settings_.entries_keep; }
  bool ready() const { return view_.routes() != nullptr && !stopping(); }
  bool stopping() const { return stop_asked_.has_value(); }
  // Whether the process may end: a planned stop is over.
  bool is_stop_over(Time now) const;
  std::size_t open_requests() const { return desk_.open_requests(); }
  const FleetView& view() const { return view_; }
  const StoreMirror& mirror() const { return mirror_; }
  bool is_keeper(Time now) const;
  // Absent where this node knows nothing newer.
  std::optional<MirrorSnapshot> Snapshot(Revision newer_than) const {
    return mirror_.Snapshot(newer_than);
  }

 private:
  void Apply(std::vector<StoreMirrorAction> actions);
  void Apply(StoreRequest request);
  void Apply(const AskPeerSnapshot& ask);
  void Apply(const AskPeerChanges& ask);
  void Apply(AnswerChanges answer);
  void Apply(GatewayModule module,
             const std::vector<std::variant<StoreRequest>>& actions);
  void Apply(std::vector<FleetKeeperAction> actions);
  void UpdateFollowing(Time now);
  // Relaxes a node that need not take the role soon.
  void UpdateRelaxation(Time now);
  // The node of this data centre that this one is to follow; empty where it has
  // to watch the service itself.
  NodeId ChooseFollowed(Time now);
  // Of this node or one that the view shows.
  std::int64_t WeightOf(const NodeId& node) const;
  // How many nodes watch the service, by what this node sees of the fleet.
  std::size_t CountWatchers() const;
  // How many of the nodes of a data centre do: more in a larger one, so that
  // none has more followers.
  std::size_t WatchersOf(std::size_t nodes) const;
  void UpdateRole(Time now);
  // Nodes with more of a processor come first: the keeper's work grows with
  // what happens in the whole fleet, and late decisions cost groups.
  std::int64_t RankFor(const RoleName& role) const;
  // Whether the role, which this node holds by what it sees, is to go to a node
  // with more of a processor.
  bool MayHandOver(Time now, const NodeId& holder);
  void UpdateReplicas(Time now);
  void RunKeeper(Time now);
  // Over which time a start may read what it has not read first; zero where it
  // needs it at once.
  Duration ReadSpread() const;
  void WriteOverview(Time now);
  FleetOverview DescribeFleet() const;
  void MoveStuck(Time now, const std::vector<AttemptNumber>& stuck);
  void AskWitnesses(const StandstillNotice& group);
  void AskForKeeper(Time now);
  std::vector<Address> OtherNodes() const;
  // One of them at random, or of the seeds where none is known.
  std::optional<Address> DrawOtherNode() const;
  std::vector<Replica> MakeReplicas() const;
  // Absent where the VM takes no requests.
  std::optional<Replica> MakeReplica(const VmRegistration& vm) const;
  GatewayActions TakeActions();

  GatewaySettings settings_;
  Random random_;
  EventSink events_;
  FleetView view_;
  StoreMirror mirror_;
  NodeLease lease_;
  RoleLeases roles_;
  FleetKeeper keeper_;
  OverviewWriter overview_;
  ReplicaSelector selector_;
  SharedRetryBudget budget_;
  ForwardDesk desk_;

  // When the fleet was known for the first time.
  std::optional<Time> loaded_at_;
  // The node that is followed; empty where none is.
  NodeId followed_;
  Address followed_address_;
  Time next_follow_review_;
  // Nodes that could not tell, and until when they are not asked.
  std::map<NodeId, Time> avoided_;
  std::optional<Time> role_free_since_;
  // Since when a node is known that has more of a processor than this one.
  std::optional<Time> better_keeper_since_;
  Time next_witness_ask_;
  std::uint64_t seen_configuration_ = 0;
  std::optional<Time> stop_asked_;
  bool traffic_seen_ = false;
  GatewayActions actions_;
};

}  // namespace gcw

#endif  // COORDINATION_GATEWAY_GATEWAY_CORE_H_
