#ifndef COORDINATION_GATEWAY_REPLICA_SELECTOR_H_
#define COORDINATION_GATEWAY_REPLICA_SELECTOR_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <utility>
#include <vector>

#include "coordination/gateway/balancing/even_load_settings.h"
#include "coordination/gateway/balancing/group_subset.h"
#include "coordination/gateway/balancing/load_estimator.h"
#include "coordination/gateway/endpoint_holds.h"
#include "coordination/gateway/endpoint_limits.h"
#include "coordination/gateway/endpoint_report.h"
#include "coordination/gateway/forward_request.h"
#include "coordination/gateway/relay_selector.h"
#include "coordination/gateway/replica_explanation.h"
#include "coordination/gateway/warmup/warm_up_limits.h"
#include "coordination/routing/failure_backoff.h"
#include "state/state.h"

namespace gcw {

struct ReplicaSelectorSettings {
  // A replica is taken to be stalled if none of its running streams sends
  // anything for this long. A lost member stalls a group without any other
  // sign, and the group goes on accepting requests. A healthy group sends an
  // event in each pass, every 50 to 60 ms at the engines' published times.
  Duration stall_timeout = Duration::Millis(400);
  // The same limit before the first event of a stream, because reading long
  // prompts and waiting for a slot take time.
  Duration first_event_timeout = Duration::Millis(1500);
  // A node's few streams at a replica may wait in its queue while those of
  // other nodes advance. Before the node takes the replica to be stalled, it
  // asks other nodes and waits this long for one that saw progress. Answers
  // take a few milliseconds within a region.
  Duration peer_confirmation_timeout = Duration::Millis(80);
  // The path to an endpoint is checked after this long without a first event,
  // so that its streams can begin elsewhere before callers leave.
  Duration first_event_check_delay = Duration::Millis(1000);
  // Interval between two checks of an endpoint whose streams are silent here.
  Duration path_check_interval = Duration::Seconds(1);
  // A stalled replica is excluded until it makes progress. If nothing that
  // could show progress runs there, it gets one trial request in this interval.
  Duration stall_trial_interval = Duration::Millis(1000);
  // Cost of a replica in another data centre, as expected wait. 20 ms instead
  // of 4 ms sends an eighth less between data centres (simulation with 9
  // nodes).
  double cross_zone_penalty_ms = 20;
  // Each replica's expected wait gets a random addition of up to this much.
  // Load reports are old, and nodes with the same report would otherwise all
  // choose the same replica.
  double jitter_ms = 12;
  // Number of replicas drawn at random from this node's data centre, and again
  // from the others, that are compared for a request. With two drawn from all
  // replicas, four requests in ten saw none in their own data centre, and the
  // cost of bytes between data centres was 0.0109 of the requests' worth
  // instead of 0.0071 (simulation with 9 nodes). In a large fleet a node learns
  // a replica's load once in a second or two. If it compared all replicas, each
  // node would send every request to the replica that last looked least loaded,
  // whose queue would grow unnoticed. With 64 nodes and 1.7 times the usual
  // load, 0.72 of the requests start in time instead of 0.63
  // (gateway_deferral_bench).
  std::int64_t choices = 2;
  // Running and waiting requests in a replica, as a multiple of its slots,
  // above which nothing more is sent to it.
  double max_fill = 1.3;
  // The same limit at engines for deferred requests. If these took all slots,
  // each prioritized request would wait for one to become free, and their queue
  // would last for seconds after a burst: in the four seconds after 1.9 times
  // the usual load, 0.84 of the requests start in time instead of 0.61
  // (simulation with 9 nodes, three seeds). A request that finds no room is
  // refused at once with a retry delay.
  double max_fill_deferred = 0.85;
  // The same limit at engines for requests that go before the deferred ones.
  double max_fill_prioritized = 2.2;
  // Failures of a replica that are further apart than this are unrelated.
  // Longer than the backoff, so that a replica that fails each trial counts as
  // failing throughout.
  Duration failure_gap = Duration::Seconds(4);
  // A load report is used for this long.
  Duration load_report_ttl = Duration::Millis(2500);
  EvenLoadSettings even_load;
  EndpointLimitSettings limits;
  WarmUpLimitSettings warm_up;
  // A group that was silent for at least this long may be cold when it goes on.
  // Groups that are only slow or full are silent for less.
  Duration min_cold_silence = Duration::Millis(1500);
  FailureBackoffSettings backoff = {.initial_backoff = Duration::Millis(300),
                                    .max_backoff = Duration::Seconds(3),
                                    .trial_timeout = Duration::Seconds(2)};
};

// A target of requests: a replica group, addressed at its first member, or a
// plain service's process.
struct Replica {
  VmId vm;
  Incarnation incarnation;
  Address address;
  ServiceId service;
  // `model` and `group` are empty for plain services.
  ModelId model;
  GroupId group;
  Generation generation;
  ZoneId zone;
  std::int64_t slots = 1;
  // Duration of one pass over a full batch; zero for plain services.
  double pass_ms = 0;
  double prompt_tokens_per_ms = 0;
  // How long a request occupies its slot.
  double service_ms = 50;
  // False while operators keep requests away from the endpoint. Its running
  // requests go on.
  bool accepts_requests = true;
  WarmUpState warm_up;

  friend bool operator==(const Replica&, const Replica&) = default;
};

struct ReplicaDemand {
  ServiceId service;
  ModelId model;
  TokenCount prompt_tokens;
  // Absent if the replica starts requests in order of arrival.
  std::optional<Urgency> urgency;
  // If set, all nodes choose the same replica for this part of prompts, as far
  // as it has room.
  std::optional<Fingerprint> apart;
  // If set, only replicas count from which this node has received something
  // after this time. Where silence is rare, others count too if there is none.
  std::optional<Time> heard_since;
};

struct ReplicaChoice {
  Replica replica;
  double expected_wait_ms = 0;
};

// What this node knows of the load of a model's replicas.
struct ModelLoad {
  ServiceId service;
  ModelId model;
  // Number of replicas that this node prefers.
  std::int64_t preferred = 0;
  // Standard deviation of the known fills, which are requests per slot.
  double fill_spread = 0;
  // Mean age of the reports in use.
  Duration report_age;
};

// Identifies one attempt at one replica.
using AttemptNumber = StrongNumber<struct AttemptNumberTag>;

// Chooses the replica for each attempt, based on each replica's last load
// report and on what this node has sent to it since. Replicas that fail, are
// stalled or are full are left out.
class ReplicaSelector {
 public:
  ReplicaSelector(ReplicaSelectorSettings settings,
                  ZoneId zone,
                  Random random,
                  EventSink events);

  // Replaces the set of replicas.
  void SetReplicas(Time now, std::vector<Replica> replicas);
  // Adds or updates one replica.
  void SetReplica(Time now, Replica replica);
  // Removes the VM's replica.
  void RemoveReplica(const VmId& vm);
  void SetNodeCount(std::size_t nodes);
  // Sets the nodes that accept requests, with their data centres.
  void SetNodes(Time now, NodeId self, std::map<NodeId, ZoneId> nodes);
  // Sets whether this node's view of the fleet is up to date, and the latest
  // time at which it is known to have been complete.
  void SetViewCurrent(bool current, std::optional<Time> complete_at) {
    limits_.SetViewCurrent(current);
    warm_up_.SetViewTime(complete_at);
  }
  // Requests may be sent to the data centre's endpoints again.
  void OnZoneRestored(Time now, const ZoneId& zone) {
    warm_up_.OnZoneRestored(now, zone);
  }

  // Returns kNoEndpoint, kNoCapacity, kEndpointLimit or kEndpointCooldown if no
  // replica can take the request.
  Result<ReplicaChoice, RefusalKind> Choose(
      Time now,
      const ReplicaDemand& demand,
      std::span<const VmId> excluded) const;
  // Returns how Choose would decide, for operators. Uses a random source of its
  // own, so that it does not affect later choices.
  SelectionExplanation Explain(Time now, const ReplicaDemand& demand) const;

  // Returns how many requests per second all nodes together may send to the
  // replicas that name a limit and could run the request.
  RequestRate LimitedRate(const ReplicaDemand& demand) const;

  // Returns when the first cooldown of a replica that could run the request
  // ends; `now` if none has one.
  Time FirstCooldownEnd(Time now, const ReplicaDemand& demand) const;

  // Returns when the first of the replicas that could run the request began to
  // fail; absent if none has failed of late.
  std::optional<Time> FailingSince(Time now, const ReplicaDemand& demand) const;

  // Returns what this node reaches, for other nodes.
  std::vector<ServiceReach> Reach(Time now) const;

  // Returns `count` replicas, drawn at random, or fewer if there are no more.
  // Each service has one at least.
  std::vector<Replica> DrawReplicas(std::size_t count) const;
  std::size_t size() const { return states_.size(); }
  // Returns the load of each model, for operators.
  std::vector<ModelLoad> ModelLoads(Time now) const;
  // Number of requests that a replica rejected while the known fill of its
  // model's replicas was below two thirds.
  std::int64_t rejected_with_room() const { return rejected_with_room_; }
  // Returns the number of replicas of the service and model of the VM's.
  std::size_t CountAlike(const VmId& vm) const;

  // Whether streams run and no endpoint has sent anything for too long, if
  // `last_contact` is the last time that one did.
  bool AwaitsAnswers(Time now, Time last_contact) const;
  // Whether the replica of the attempt seems stalled, or does not accept new
  // connections of this node.
  bool IsInDoubt(AttemptNumber attempt) const;
  // Whether the silent replica of the attempt does not accept new connections
  // of this node.
  bool IsPathLost(AttemptNumber attempt) const;

  AttemptNumber OnSent(Time now,
                       const VmId& vm,
                       TokenCount prompt_tokens,
                       bool streams);
  void OnLoad(Time now, const VmId& vm, const LoadReading& load);
  // The endpoint of the attempt reports about itself.
  void OnReport(Time now, AttemptNumber attempt, const EndpointReport& report);
  // The endpoint reports about itself in an answer that came through another
  // node to a request of `sent`.
  void OnRelayedReport(Time now,
                       const VmId& vm,
                       Time sent,
                       const EndpointReport& report);
  // A part of the answer arrived.
  void OnProgress(Time now, AttemptNumber attempt);
  void OnEnded(Time now, AttemptNumber attempt, ForwardEndKind end);
  // The attempt was abandoned: the caller left or the send was withdrawn.
  void OnCancelled(AttemptNumber attempt);

  // Detects stalled replicas.
  void Tick(Time now);
  // Replicas suspected of being stalled since the last call. Other nodes may
  // have seen them make progress.
  std::vector<Replica> TakeSuspectedStalls();
  // Another node reports that the replica made progress `ago` before now.
  void OnPeerProgress(Time now,
                      const VmId& vm,
                      Generation generation,
                      Duration ago);
  // Another node found the replica stalled.
  void OnPeerStall(Time now, const VmId& vm, Generation generation);
  // Replicas whose streams are silent at this node, to be checked by a new
  // connection: only this node may have lost its path to them.
  std::vector<Replica> TakePathChecks();
  // The endpoint accepted a new connection of this node, or did not.
  void OnPathCheck(const VmId& vm, bool is_reached);
  // Replicas found to be stalled since the last call, to be announced to other
  // nodes. Their endpoints accept new connections of this node.
  std::vector<Replica> TakeStalledReplicas();
  // The same for replicas whose endpoints do not: they are gone, or only this
  // node does not reach them.
  std::vector<Replica> TakeUnreachableReplicas();

  // The generation of the VM's group; zero if it has none.
  Generation GenerationOf(const VmId& vm) const;
  // Time at which this node last received an event of the group, or anything
  // from a plain service.
  std::optional<Time> LocalProgress(const VmId& vm,
                                    Generation generation) const;
  // Time at which this node, or another node that reported it, last received
  // anything from the group; `Time()` if none did.
  Time LastProgress(const VmId& vm, Generation generation) const;
  // Another node tells what an endpoint said of its limit.
  void OnLimitNotice(Time now, const LimitNotice& notice) {
    limits_.OnNotice(now, notice);
  }
  // Returns what other nodes should be told of limits.
  std::vector<LimitNotice> TakeLimitNotices(Time now) {
    return limits_.TakeNotices(now);
  }
  // Whether the endpoint names a limit on its requests.
  bool IsLimited(const VmId& vm) const { return limits_.IsLimited(vm); }
  // Number of endpoints that name a limit on their requests.
  std::size_t limited_endpoints() const { return limits_.size(); }
  // Whether the endpoint said in an answer that it is about to stop.
  bool IsLeaving(const EndpointRun& endpoint) const {
    return holds_.IsLeaving(endpoint);
  }
  // Whether the endpoint asked this node for no more requests.
  bool IsHeld(const VmId& vm) const { return holds_.IsHeld(vm); }
  // Number of endpoints that asked this node for no more requests.
  std::size_t held_endpoints() const { return holds_.size(); }
  const WarmUpLimits& warm_up() const { return warm_up_; }

 private:
  struct State {
    explicit State(const ReplicaSelectorSettings& settings)
        : backoff(settings.backoff) {}

    Replica replica;
    // If this node prefers the replica among those of its model, how many nodes
    // do; 0 otherwise.
    double preferring_nodes = 0;
    FailureBackoff backoff;
    std::int64_t in_flight = 0;
    double pending_prompt_tokens = 0;
    LoadReading load;
    Time load_reported_at;
    std::int64_t sent_since_report = 0;
    std::int64_t ended_since_report = 0;
    // Time of the last event known from any node, or of the group's first
    // appearance if there was none.
    Time last_progress;
    Time last_event;
    // Time of the last event that another node reported for its own streams.
    Time last_peer_progress;
    // Time since which the replica is suspected of being stalled.
    std::optional<Time> suspected_since;
    // Moving average of the time between two events of a stream; 0 until known.
    double event_interval_ms = 0;
    bool is_stalled = false;
    // Earliest time of the next trial request of a stalled replica.
    Time next_trial;
    // The stall is announced once it is known whether the endpoint accepts new
    // connections.
    bool awaits_announcement = false;
    bool is_path_checked = false;
    bool is_path_check_pending = false;
    bool is_reached = false;
    Time next_path_check;
    // Time of the last bytes that this node received from the replica.
    Time last_contact;
    // The current series of failures.
    std::optional<Time> failing_since;
    Time last_failure;
  };
  struct Attempt {
    VmId vm;
    Incarnation incarnation;
    Generation generation;
    double prompt_tokens = 0;
    Time sent;
    // Time of the last event.
    std::optional<Time> progress;
    bool streams = false;
  };

  // Replicas that have room for a request.
  struct Candidates {
    std::vector<const State*> near;
    // Replicas in other data centres.
    std::vector<const State*> far;
    // Replicas whose limit leaves this node a request, and cold ones. They are
    // always compared, because few nodes may send to them at all.
    std::vector<const State*> limited;
    // True if there is any usable replica, with or without room.
    bool any_usable = false;
    // True if there is a replica whose limit leaves this node no request now.
    bool any_limited = false;
    // True if there is a replica that asked this node for no more requests.
    bool any_held = false;
  };

  Candidates FindCandidates(Time now,
                            const ReplicaDemand& demand,
                            std::span<const VmId> excluded) const;
  // Returns why FindCandidates left out a replica of the service and model.
  ReplicaExclusion FindExclusion(Time now, const State& state) const;
  // Returns the replica that all nodes prefer for the part.
  std::optional<ReplicaChoice> ChooseApart(Time now,
                                           const ReplicaDemand& demand,
                                           const Candidates& candidates) const;
  // Compares all preferred replicas and a random one of the others. Returns
  // false if even load is off or no preferred replica has room.
  bool ComparePreferred(Time now,
                        const ReplicaDemand& demand,
                        const Candidates& candidates,
                        std::optional<ReplicaChoice>& best) const;
  // Returns the mean load of the replicas of the model.
  LoadEstimator MakeEstimator(Time now,
                              const ServiceId& service,
                              const ModelId& model) const;
  GroupLoad LoadOf(Time now, const State& state) const;
  // Adds or updates one replica. Returns whether the preferred replicas of its
  // model may have changed.
  bool PutReplica(Time now, Replica replica);
  // Determines which replicas of the model, or of all, this node prefers.
  void UpdatePreferred(const ServiceId& service, const ModelId& model);
  void UpdateAllPreferred();
  void CountRejection(Time now, const Replica& replica);
  // Compares a few replicas, drawn at random, with the best choice so far.
  void CompareDrawn(Time now,
                    const ReplicaDemand& demand,
                    std::vector<const State*> with_room,
                    std::optional<ReplicaChoice>& best) const;
  // Replaces the best choice so far if the replica's expected wait is shorter.
  void Compare(Time now,
               const ReplicaDemand& demand,
               const State& state,
               std::optional<ReplicaChoice>& best) const;
  State* Find(const VmId& vm);
  // Returns null if the attempt was sent to an earlier run or group of the VM.
  State* FindTarget(const Attempt& attempt);
  const State* FindTarget(const Attempt& attempt) const;
  // Whether the attempt was sent to this run and group of the VM.
  static bool IsTarget(const State& state, const Attempt& attempt);
  double MaxFill(const ReplicaDemand& demand) const;
  bool IsUsable(Time now, const State& state) const;
  double ExpectedRequests(Time now, const State& state) const;
  double ExpectedWait(Time now,
                      const State& state,
                      const ReplicaDemand& demand) const;
  // The same if the replica holds so many requests.
  double ExpectedWait(Time now,
                      const State& state,
                      const ReplicaDemand& demand,
                      double requests) const;
  void RecordFailure(Time now, State& state) const;
  void RemoveLoad(const Attempt& attempt);
  // Returns the replicas whose running streams from this node have all been
  // silent for too long.
  std::set<VmId> FindSilent(Time now);
  // Returns the replicas that sent this node nothing for too long, whatever
  // other nodes receive of them.
  std::set<VmId> FindSilentHere(Time now);
  // Checks the paths to these replicas.
  void CheckPaths(Time now, const std::set<VmId>& silent_here);
  // Announces the stall if it is known whether the endpoint is reached.
  void AnnounceStall(State& state);
  void MarkStalled(Time now, State& state, std::string_view evidence);
  static bool IsPathLost(const State& state);
  // Whether most of the service's replicas that run streams of this node have
  // been silent since the time.
  bool IsSilenceCommon(const ServiceId& service, Time since) const;
  // Leaves only the candidates that were heard after the time.
  static void KeepHeard(Time since, Candidates& candidates);

  ReplicaSelectorSettings settings_;
  ZoneId zone_;
  Random random_;
  EventSink events_;
  double node_count_ = 1;
  std::int64_t rejected_with_room_ = 0;
  GroupSubset subset_;
  EndpointLimits limits_;
  WarmUpLimits warm_up_;
  EndpointHolds holds_;
  std::map<VmId, State> states_;
  std::map<AttemptNumber, Attempt> attempts_;
  AttemptNumber last_attempt_;
  std::vector<Replica> stalled_replicas_;
  std::vector<Replica> unreachable_replicas_;
  std::vector<Replica> path_checks_;
  std::vector<Replica> suspected_stalls_;
};

}  // namespace gcw

#endif  // COORDINATION_GATEWAY_REPLICA_SELECTOR_H_
