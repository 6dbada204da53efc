#ifndef COORDINATION_GATEWAY_REPLICA_SELECTOR_H_
#define COORDINATION_GATEWAY_REPLICA_SELECTOR_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <vector>

#include "coordination/gateway/forward_request.h"
#include "coordination/routing/failure_backoff.h"
#include "state/state.h"

namespace gcw {

struct ReplicaSelectorSettings {
  // A replica whose running streams all give nothing for this long is taken to
  // stand still: a lost member stops a group with nothing else to show for it,
  // and the group goes on taking requests. Healthy ones give an event a pass,
  // 50 to 60 ms at the engines' published times.
  Duration silence_limit = Duration::Millis(400);
  // The same before the first event of a stream, where reading long prompts and
  // waiting for a place take their time.
  Duration first_event_limit = Duration::Millis(1500);
  // A node's few streams at a replica may wait in its queue while others' go
  // on: before it takes the replica for standing still it asks other nodes, and
  // waits this long for one that saw progress. Answers take a few milliseconds
  // within a region.
  Duration witness_wait = Duration::Millis(80);
  // A replica that stood still is left out until it gives something, or for
  // this long; by then its group has been repaired or taken down.
  Duration standstill_hold = Duration::Millis(6000);
  // What a replica of another data centre costs, in expected wait. With 20 ms
  // rather than 4 ms an eighth less is sent between data centres (9 nodes,
  // played).
  double other_zone_ms = 20;
  // Reports are old, and nodes with the same report would all choose the same
  // replica: this much expected wait is drawn at random for each.
  double spread_ms = 12;
  // So many of this node's data centre, and as many of the others, drawn at
  // random, are compared for a request: with two of all, four requests in ten
  // saw none that is near, and the price of bytes between data centres was
  // 0.0109 of the worth rather than 0.0071 (9 nodes, played). A node of a large
  // fleet hears of a replica's load once in a second or two; were all compared,
  // each would send whatever comes to the one that last looked emptiest, and
  // its queue grows unseen. With 64 nodes and a load of 1.7 times the usual
  // 0.72 of the requests begin in time rather than 0.63
  // (gateway_deferral_bench).
  std::int64_t choices = 2;
  // Requests in a replica, running and waiting, beyond which nothing more is
  // sent there, as a multiple of its places.
  double most_fill = 1.3;
  // The same at engines for requests that were deferred. Were all places taken
  // by them, each request that goes first would wait for one to come free, and
  // their queue would stand for seconds after a burst: in the four seconds
  // after 1.9 times the usual load 0.84 of the requests begin in time rather
  // than 0.61 (9 nodes, played, three seeds). Whoever finds no room is refused
  // at once, with when to come back.
  double most_fill_deferred = 0.85;
  // The same for those that go before the deferred ones.
  double most_fill_ahead = 2.2;
  // A report of load counts for this long.
  Duration load_life = Duration::Millis(2500);
  FailureBackoffSettings backoff = {Duration::Millis(300), Duration::Seconds(3),
                                    Duration::Seconds(2)};
};

// Something that takes requests: a replica group at its first member, or a
// plain service's process.
struct Replica {
  VmId vm;
  Incarnation incarnation;
  Address address;
  ServiceId service;
  // Both empty for plain services.
  ModelId model;
  GroupId group;
  Generation generation;
  ZoneId zone;
  std::int64_t places = 1;
  // How long one pass over a full batch takes; zero for plain services.
  double pass_ms = 0;
  double prompt_tokens_per_ms = 0;
  // How long a request keeps its place.
  double service_ms = 50;

  friend bool operator==(const Replica&, const Replica&) = default;
};

struct ReplicaDemand {
  ServiceId service;
  ModelId model;
  TokenCount prompt_tokens;
  // Absent where the replica takes requests as they come.
  std::optional<Urgency> urgency;
};

struct ReplicaChoice {
  Replica replica;
  double expected_ms = 0;
};

// Names one attempt at one replica.
using AttemptNumber = StrongNumber<struct AttemptNumberTag>;

// Chooses the replica for each attempt. It knows what each last reported and
// what this node sent there since, and leaves out those that fail, stand still
// or are full.
class ReplicaSelector {
 public:
  ReplicaSelector(ReplicaSelectorSettings settings,
                  ZoneId zone,
                  Random random,
                  EventSink events);

  // All replicas that there are now.
  void SetReplicas(Time now, std::vector<Replica> replicas);
  // One of them is new or changed.
  void SetReplica(Time now, Replica replica);
  // The VM has none.
  void RemoveReplica(const VmId& vm) { states_.erase(vm); }
  void SetNodeCount(std::size_t nodes);

  // Absent with the reason: kNoEndpoint or kNoCapacity.
  Result<ReplicaChoice, RefusalKind> Choose(
      Time now,
      const ReplicaDemand& demand,
      std::span<const VmId> excluded) const;

  AttemptNumber OnSent(Time now,
                       const VmId& vm,
                       TokenCount prompt_tokens,
                       bool streams);
  void OnLoad(Time now, const VmId& vm, const LoadReading& load);
  // Something of the answer came.
  void OnProgress(Time now, AttemptNumber attempt);
  void OnEnded(Time now, AttemptNumber attempt, ForwardEndKind end);
  // The caller left.
  void OnCancelled(AttemptNumber attempt);

  // Attempts at replicas that were just found to stand still.
  std::vector<AttemptNumber> Tick(Time now);
  // Replicas that seem to stand still since the last call: other nodes may know
  // better.
  std::vector<Replica> TakeSuspicions();
  // Another node saw it make progress that long ago.
  void OnProgressHeard(Time now,
                       const VmId& vm,
                       Generation generation,
                       Duration ago);
  // Another node found it standing still.
  std::vector<AttemptNumber> OnStandstillHeard(Time now,
                                               const VmId& vm,
                                               Generation generation);
  // Replicas found standing still since the last call, for other nodes.
  std::vector<Replica> TakeStandstills();

  // When anything last came from that group to this node.
  std::optional<Time> OwnProgress(const VmId& vm, Generation generation) const;
  // The same to this node or one that told; the start of time where nothing
  // did.
  Time LastProgress(const VmId& vm, Generation generation) const;

 private:
  struct State {
    explicit State(const ReplicaSelectorSettings& settings)
        : backoff(settings.backoff) {}

    Replica replica;
    FailureBackoff backoff;
    std::int64_t in_flight = 0;
    double pending_prompt_tokens = 0;
    LoadReading load;
    Time load_at;
    std::int64_t sent_since = 0;
    std::int64_t ended_since = 0;
    // Of the last event, or the time from which there could have been one.
    Time last_progress;
    Time last_event;
    // Of the last event of another node's streams, as it told.
    Time last_heard;
    // Since when it seems to stand still.
    std::optional<Time> suspected_since;
    // Usual time between two events of a stream; 0 until one is known.
    double event_gap_ms = 0;
    std::optional<Time> stands_still_until;
  };
  struct Attempt {
    VmId vm;
    Incarnation incarnation;
    Generation generation;
    double prompt_tokens = 0;
    Time sent;
    // Of the last event.
    std::optional<Time> progress;
    bool streams = false;
  };

  // Replicas that a request can be sent to, with room for it.
  struct Candidates {
    std::vector<const State*> near;
    // Of other data centres.
    std::vector<const State*> far;
    // Some are there, with room or without.
    bool any_usable = false;
  };

  Candidates FindCandidates(Time now,
                            const ReplicaDemand& demand,
                            std::span<const VmId> excluded) const;
  // The one with the shortest expected wait of a few drawn at random; absent
  // where there are none.
  std::optional<ReplicaChoice> ChooseOf(
      Time now,
      const ReplicaDemand& demand,
      std::vector<const State*> with_room) const;
  State* Find(const VmId& vm);
  // Null where the attempt was sent to an earlier run or group of the VM.
  State* FindOf(const Attempt& attempt);
  double MostFill(const ReplicaDemand& demand) const;
  bool IsUsable(Time now, const State& state) const;
  double ExpectedRequests(Time now, const State& state) const;
  double ExpectedWait(Time now,
                      const State& state,
                      const ReplicaDemand& demand) const;
  void End(const Attempt& attempt);
  // Replicas whose running streams here are all silent for too long.
  std::set<VmId> FindSilent(Time now);
  std::vector<AttemptNumber> MarkStandstill(Time now,
                                            State& state,
                                            std::string_view evidence);

  ReplicaSelectorSettings settings_;
  ZoneId zone_;
  Random random_;
  EventSink events_;
  double nodes_ = 1;
  std::map<VmId, State> states_;
  std::map<AttemptNumber, Attempt> attempts_;
  AttemptNumber last_attempt_;
  std::vector<Replica> standstills_;
  std::vector<Replica> suspicions_;
};

}  // namespace gcw

#endif  // COORDINATION_GATEWAY_REPLICA_SELECTOR_H_
