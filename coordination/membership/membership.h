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
  // After this without an acknowledgement others are asked to probe as well.
  Duration probe_timeout = Duration::Millis(300);
  std::size_t indirect_probes = 3;
  // A suspect has max(min_suspicion, suspicion_factor * log2(nodes) * period)
  // to refute.
  Duration min_suspicion = Duration::Seconds(5);
  double suspicion_factor = 1.0;
  // Each rumor is sent transmission_factor * log2(nodes) times by each node.
  double transmission_factor = 2.0;
  std::size_t rumor_bytes = 1200;
  // A leaving node tells this many nodes at once, and each of them as many.
  std::size_t urgent_fanout = 3;
  // Most urgent messages that a node sends within a period.
  std::size_t urgent_per_period = 9;
  // Between probes of a dead member or seed, so that the halves of a healed
  // partition find each other.
  Duration reconnect_interval = Duration::Seconds(5);
  // A dead member is forgotten after this, unless the key-value service lists
  // it.
  Duration dead_memory = Duration::Seconds(14400);
  // Every node reads the list of nodes once per this long for each node of the
  // fleet, so that the fleet's reads do not grow with its size.
  Duration read_interval_per_node = Duration::Seconds(1);
  Duration min_read_interval = Duration::Seconds(30);
  Duration call_timeout = Duration::Seconds(2);
  // A gap between two ticks beyond this means that the node itself was paused
  // and missed acknowledgements that others did send.
  Duration pause_threshold = Duration::Seconds(1);
  BackoffSettings backoff;
};

// A member's state changed as this node sees it.
struct MemberChanged {
  NodeId node;
  MemberState state;
};

// A delta of another node's module arrived for the first time.
struct DeltaHeard {
  NodeId origin;
  Delta delta;
};

using MembershipAction = std::variant<StoreRequest,
                                      PeerSend<MembershipMessage>,
                                      MemberChanged,
                                      DeltaHeard>;

// Which nodes there are and which of them answer, after the SWIM protocol: one
// random member is probed in each period, directly and then through others;
// what is learnt rides along on the probes. A node's cost does not grow with
// the fleet, but for the logarithm in how often a rumor is repeated.
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

  // For nodes whose record bears no incarnation: the lease has a new one; see
  // `NodeLease::incarnation`.
  void SetIncarnation(Time now, Incarnation incarnation);
  // A planned stop has begun: tells others at once.
  std::vector<MembershipAction> Leave(Time now);
  // Lets a delta of another module ride along to all nodes; an urgent one
  // leaves with the next tick.
  void Spread(const Delta& delta);

  const View& view() const { return view_; }
  const Member& self() const;
  // Grows whenever `view` changes.
  std::uint64_t view_version() const { return view_version_; }

 private:
  // The probe of this period.
  struct Probe {
    NodeId target;
    ProbeId id;
    Time sent;
    bool indirect = false;
  };
  // A probe on behalf of another node.
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
  void NoticePause(Time now);
  void BeginPeriod(Time now);
  void CheckProbe(Time now);
  void PingAccused();
  void StartProbe(Time now);
  std::optional<NodeId> NextTarget();
  void Shuffle(std::vector<NodeId>& nodes);
  void ExpireSuspects(Time now);
  void ExpireRelays(Time now);
  void Reconnect(Time now);
  void ForgetDead(Time now);
  void UpdateScale();
  Duration Suspicion() const;

  // The list of nodes in the key-value service.
  void ReadNodes(Time now);
  void OnNodeList(Time now, const StoreRangeReply& reply);
  // Whether this run of the node wrote the record, not an earlier one.
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

  // What is said of members.
  void HearAll(Time now, const NodeId& from, const std::vector<Rumor>& rumors);
  void Hear(Time now, const NodeId& from, const MemberRumor& rumor);
  void Hear(Time now, const NodeId& from, const DeltaRumor& rumor);
  void HearOfSelf(const NodeId& from, const MemberRumor& rumor);
  void HearAlive(Time now, const MemberRumor& rumor, bool pass_on);
  void HearFailing(Time now, const MemberRumor& rumor);
  void SetState(Time now, Member& member, MemberState state);
  Member& OwnMember() { return view_.Upsert(self_); }
  MemberRumor RumorOn(const Member& member) const;
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
  // The members still to be probed in this round, in random order.
  std::vector<NodeId> round_;
  ProbeId last_probe_;
  std::map<ProbeId, Relay> relays_;
  // Until when each suspect may refute.
  std::map<NodeId, Time> suspects_;
  // Suspects by this node's own probe.
  std::set<NodeId> accused_;
  Time next_reconnect_;
  // The dead members still to be tried in this round.
  std::vector<NodeId> reconnect_round_;
  // Members that are not dead, as of the last period.
  std::size_t live_ = 1;
  std::size_t urgent_left_ = 0;
  // The full list of members was received, from the service or a peer; one from
  // the service counts where it shows this run of the node as well.
  bool listed_ = false;
  std::set<NodeId> in_store_;

  Backoff backoff_;
  StoreCallId last_id_;
  std::optional<StoreCallId> call_;
  Time call_sent_;
  Time next_read_;
};

class Membership::Builder {
 public:
  Builder& SetSettings(MembershipSettings settings);
  Builder& SetSelf(NodeRecord self);
  // Nodes to ask when the key-value service does not answer.
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
