#ifndef COORDINATION_MEMBERSHIP_MEMBERSHIP_H_
#define COORDINATION_MEMBERSHIP_MEMBERSHIP_H_

#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "coordination/actions.h"
#include "coordination/backoff.h"
#include "coordination/membership/delta_filter.h"
#include "coordination/membership/member.h"
#include "coordination/membership/membership_messages.h"
#include "coordination/membership/rumor_queue.h"
#include "state/state.h"

namespace gcw {

struct MembershipSettings {
  // One member is probed in each period.
  Duration period = Duration::Seconds(1);
  // Time without an acknowledgement after which other nodes are asked to probe
  // as well.
  Duration probe_timeout = Duration::Millis(300);
  std::size_t indirect_probes = 3;
  // A suspect has max(min_suspicion, suspicion_factor * log2(nodes) * period)
  // to refute the suspicion.
  Duration min_suspicion = Duration::Seconds(5);
  double suspicion_factor = 1.0;
  // Each node sends each rumor transmission_factor * log2(nodes) times.
  double transmission_factor = 2.0;
  std::size_t rumor_bytes = 1200;
  // Number of nodes to which an urgent rumor is sent at once by the node that
  // starts it, and by each node that receives it.
  std::size_t urgent_fanout = 3;
  // Maximum number of urgent messages that a node sends in a period.
  std::size_t max_urgent_per_period = 9;
  // Interval between probes of dead members or seeds, by which the halves of a
  // healed partition find each other.
  Duration reconnect_interval = Duration::Seconds(5);
  // A dead member is forgotten after this time, unless the key-value service
  // lists it.
  Duration dead_retention = Duration::Seconds(14400);
  // Each node reads the list of nodes at intervals of this duration times the
  // number of nodes, so that the total rate of reads does not grow with the
  // fleet.
  Duration read_interval_per_node = Duration::Seconds(1);
  Duration min_read_interval = Duration::Seconds(30);
  Duration call_timeout = Duration::Seconds(2);
  // A longer gap between two ticks means that this node was paused and may have
  // missed acknowledgements that were sent.
  Duration pause_threshold = Duration::Seconds(1);
  BackoffSettings backoff;
};

// A member's state changed in this node's view.
struct MemberChanged {
  NodeId node;
  MemberState state;
};

// A delta of another node arrived for the first time.
struct DeltaReceived {
  NodeId origin;
  Delta delta;
};

using MembershipAction = std::variant<StoreRequest,
                                      PeerSend<MembershipMessage>,
                                      MemberChanged,
                                      DeltaReceived>;

// Tracks which nodes exist and which of them respond, with the SWIM protocol:
// in each period one random member is probed, directly and then through other
// members, and news is piggybacked on the probes. The cost for a node does not
// depend on the size of the fleet, except that the number of times a rumor is
// repeated grows with its logarithm.
class Membership {
 public:
  class Builder;

  std::vector<MembershipAction> Tick(Time now);
  std::vector<MembershipAction> OnPeer(Time now,
                                       const NodeId& from,
                                       const MembershipMessage& message);
  std::vector<MembershipAction> OnStoreReply(Time now,
                                             StoreCallId id,
                                             const StoreReply& reply);

  // For nodes whose record has no incarnation: sets the incarnation of a new
  // lease. See `NodeLease::incarnation`.
  void SetIncarnation(Time now, Incarnation incarnation);
  // Begins a planned stop and announces it to other nodes at once.
  std::vector<MembershipAction> Leave(Time now);
  // Sends a delta to all nodes, piggybacked on probes. An urgent delta is sent
  // with the next tick.
  void Broadcast(const Delta& delta);

  const View& view() const { return view_; }
  const Member& self() const;
  // Increases whenever `view` changes.
  std::uint64_t view_version() const { return view_version_; }

 private:
  // The probe of the current period.
  struct Probe {
    NodeId target;
    ProbeId id;
    Time sent;
    bool indirect = false;
  };
  // A probe that this node sent on behalf of another.
  struct Relay {
    NodeId requester;
    ProbeId requester_probe;
    Time sent;
  };

  Membership(MembershipSettings settings,
             NodeRecord self,
             std::vector<NodeRecord> seeds,
             std::function<std::optional<NodeRecord>(std::string_view)> decode,
             Random random,
             EventSink sink);

  // Periodic work.
  void Start(Time now);
  void AdjustForPause(Time now);
  void BeginPeriod(Time now);
  void CheckProbe(Time now);
  void PingOwnSuspects();
  void StartProbe(Time now);
  std::optional<NodeId> NextTarget();
  void Shuffle(std::vector<NodeId>& nodes);
  void ExpireSuspects(Time now);
  void ExpireRelays(Time now);
  void Reconnect(Time now);
  void ForgetDead(Time now);
  void UpdateScale();
  Duration SuspicionTimeout() const;

  // The list of nodes in the key-value service.
  void ReadNodes(Time now);
  void OnNodeList(Time now, const StoreRangeReply& reply);
  // Returns true if the record was written by this run of the node and not by
  // an earlier one.
  bool IsOwnRun(const NodeRecord& record) const;

  // Messages.
  void OnMessage(Time now, const NodeId& from, const Ping& ping);
  void OnMessage(Time now, const NodeId& from, const PingRequest& request);
  void OnMessage(Time now, const NodeId& from, const PingAck& ack);
  void OnMessage(Time now, const NodeId& from, const UrgentRumors& urgent);
  void OnMessage(Time now, const NodeId& from, const MemberListRequest&);
  void OnMessage(Time now, const NodeId& from, const MemberList& list);
  void Send(const NodeId& to, MembershipMessage message);
  void SendPing(const NodeId& to);
  void SendUrgent(const Rumor& rumor);
  std::vector<Rumor> RumorsFor(const NodeId& to, const MemberVersion& version);
  std::vector<NodeId> RandomPeers(std::size_t count, const NodeId& except);

  // Rumors.
  void ApplyRumors(Time now,
                   const NodeId& from,
                   const std::vector<Rumor>& rumors);
  void ApplyRumor(Time now, const NodeId& from, const MemberRumor& rumor);
  void ApplyRumor(Time now, const NodeId& from, const DeltaRumor& rumor);
  void ApplySelfRumor(const NodeId& from, const MemberRumor& rumor);
  void ApplyAliveRumor(Time now, const MemberRumor& rumor, bool forward);
  void ApplyFailureRumor(Time now, const MemberRumor& rumor);
  void SetState(Time now, Member& member, MemberState state);
  Member& OwnMember() { return view_.Upsert(self_); }
  MemberRumor MakeRumor(const Member& member) const;
  void AnnounceSelf();

  std::vector<MembershipAction> TakeActions();

  MembershipSettings settings_;
  NodeId self_;
  std::vector<NodeRecord> seeds_;
  std::function<std::optional<NodeRecord>(std::string_view)> decode_;
  Random random_;
  EventSink sink_;

  View view_;
  std::uint64_t view_version_ = 0;
  RumorQueue rumors_;
  DeltaFilter deltas_;
  std::int64_t last_sequence_ = 0;
  std::vector<MembershipAction> actions_;

  std::optional<Time> last_tick_;
  Time next_period_;
  std::optional<Probe> probe_;
  // Members that are still to be probed in this round, in random order.
  std::vector<NodeId> probe_round_;
  ProbeId last_probe_;
  std::map<ProbeId, Relay> relays_;
  // Time until which each suspect may refute the suspicion.
  std::map<NodeId, Time> suspicion_deadlines_;
  // Members that are suspect because this node's own probe failed.
  std::set<NodeId> own_suspects_;
  Time next_reconnect_;
  // Dead members that are still to be probed in this round.
  std::vector<NodeId> reconnect_round_;
  // Number of members that are not dead, as of the last period.
  std::size_t live_count_ = 1;
  std::size_t urgent_budget_ = 0;
  // Whether the full list of members was received from a peer or from the
  // key-value service. A list from the service counts only if it includes this
  // run of the node.
  bool has_full_list_ = false;
  std::set<NodeId> stored_nodes_;

  Backoff backoff_;
  StoreCallId last_call_id_;
  std::optional<StoreCallId> pending_read_;
  Time read_sent_;
  Time next_read_;
};

class Membership::Builder {
 public:
  Builder& SetSettings(MembershipSettings settings);
  Builder& SetSelf(NodeRecord self);
  // Nodes to contact if the key-value service does not answer.
  Builder& SetSeeds(std::vector<NodeRecord> seeds);
  Builder& SetDecode(
      std::function<std::optional<NodeRecord>(std::string_view)> decode);
  Builder& SetRandom(Random random);
  Builder& SetEventSink(EventSink sink);
  Membership Build() const;

 private:
  MembershipSettings settings_;
  NodeRecord self_;
  std::vector<NodeRecord> seeds_;
  std::function<std::optional<NodeRecord>(std::string_view)> decode_;
  Random random_ = SeededRandom(0);
  EventSink sink_ = DiscardEvents();
};

}  // namespace gcw

#endif  // COORDINATION_MEMBERSHIP_MEMBERSHIP_H_
