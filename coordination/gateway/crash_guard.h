#ifndef COORDINATION_GATEWAY_CRASH_GUARD_H_
#define COORDINATION_GATEWAY_CRASH_GUARD_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "coordination/gateway/crash_detector.h"
#include "coordination/gateway/crash_evidence.h"
#include "coordination/gateway/crash_records.h"
#include "coordination/gateway/forward_request.h"
#include "coordination/gateway/proof_log.h"
#include "state/state.h"

namespace gcw {

struct CrashGuardSettings {
  // A request that has streamed events for this long does not crash the
  // endpoint that runs it.
  Duration proof_time = Duration::Millis(500);
  // The same for a part of prompts. Endpoints crash under it before the first
  // event, and many requests may wait for the proof.
  Duration part_proof_time = Duration::Millis(100);
  // Number of rounds of crashes from which a part is recorded and runs only as
  // a trial.
  std::size_t part_trial_rounds = 2;
  // An endpoint may crash under a part's trial by chance. How likely that is
  // follows from the crashes for other reasons within this time. A part is
  // blocked when it is unlikelier than `max_chance` that all its trials failed
  // so; where more failures would be needed, they say nothing.
  Duration beside_time = Duration::Seconds(10);
  Duration trial_time = Duration::Seconds(1);
  double max_chance = 0.01;
  std::int64_t max_needed_failures = 4;
  // Evidence that is not confirmed counts for a limited time, so the rounds are
  // counted anew after this time.
  Duration rounds_ttl = Duration::Millis(40);
  std::size_t max_remembered_proofs = 4096;
  // Number of crashes from which a request is recorded in the key-value
  // service.
  std::int64_t recorded_crashes = 2;
  // Number of crashes from which a request runs only as a trial.
  std::int64_t trial_crashes = 3;
  // The same while earlier crashes may be unknown.
  std::int64_t cautious_trial_crashes = 1;
  // A request waits this long for its trial to be granted.
  Duration max_wait = Duration::Millis(250);
  // A request waits this long in all if another copy is tried out meanwhile.
  // Longer than the proof time, so that copies of a harmless request are not
  // refused.
  Duration max_trial_wait = Duration::Millis(1050);
  // Further requests are refused instead of waiting.
  std::size_t max_waiting = 64;
  // Delay that callers are told while another copy is tried out.
  Duration trial_retry_after = Duration::Seconds(1);
  CrashDetectorSettings detector;
  CrashEvidenceSettings evidence;
  CrashRecordsSettings records;
};

// In ascending order of restriction.
enum class CrashVerdict {
  kAllowed,
  // The request runs at the one endpoint that all nodes choose for its suspect
  // part.
  kApart,
  // The request has to wait for a trial.
  kNeedsTrial,
  kBlocked,
};

struct CrashJudgement {
  CrashVerdict verdict = CrashVerdict::kAllowed;
  // What the request is restricted for.
  CrashSuspect suspect;
};

// The wait of a request is over.
struct CrashDecision {
  ForwardId id;
  Fingerprint fingerprint;
  bool may_run = false;
  bool is_trial = false;
  // The request runs although no trial was granted.
  bool is_untried = false;
};

// A request that is refused, for operators.
struct CrashBlock {
  Fingerprint fingerprint;
  CrashRecord record;
  Duration remaining;
};

// Recognizes requests that crash endpoints whenever and wherever they come
// again, so that each of them takes down only a few endpoints of the fleet.
//
// All requests that may have ended an endpoint are suspects, and so are the
// shared parts of their prompts. A run of a suspect that does not crash its
// endpoint clears it. After three crashes a suspect runs only as a trial, one
// copy at a time in the whole fleet. If that crashes its endpoint too, the
// request is blocked for a while, and then tried out again.
//
// Parts are suspected by chance far more often than whole requests. From the
// first crash on, requests with a suspect part run apart: at one endpoint that
// all nodes choose for it. A healthy part is cleared there within a moment. One
// that crashes that endpoint too runs only as a trial.
class CrashGuard {
 public:
  // Whether the run is registered and has not announced its end. What breaks
  // off at a planned end says nothing about requests.
  using IsExpectedToRun = std::function<bool(const EndpointRun&)>;

  // Returns the number of endpoints that run what the VM's endpoint does.
  using CountEndpoints = std::function<std::size_t(const VmId&)>;

  CrashGuard(CrashGuardSettings settings,
             IsExpectedToRun is_expected_to_run,
             CountEndpoints count_endpoints,
             CrashRecordCodec codec,
             const Random& random,
             EventSink events);

  // Requests -----------------------------------------------------------------

  CrashVerdict Judge(Time now, Fingerprint fingerprint) const;
  // Returns the strictest verdict on a request. If it is the same for several
  // suspects, the one that was proven least recently comes first.
  CrashJudgement Judge(Time now,
                       const std::vector<CrashSuspect>& suspects) const;
  // The request waits for a decision. Returns false if too many do.
  bool Wait(Time now, ForwardId id, const CrashSuspect& suspect);
  void OnWaitCancelled(ForwardId id) { waiting_.erase(id); }
  // A trial was sent to the endpoint.
  void OnTrialSent(Fingerprint fingerprint, const EndpointRun& endpoint);
  // The trial that this node holds ended before anything reached an endpoint.
  void OnTrialUnused(Time now, Fingerprint fingerprint);
  // Whether a request whose endpoint crashed waits for its trial and is sent
  // again then. Only while earlier crashes may be unknown: otherwise the
  // request is known to have crashed three endpoints.
  bool MayRetryAsTrial(Time now, Fingerprint fingerprint) const {
    return records_.MayLackEvidence(now) && !IsPartFingerprint(fingerprint);
  }
  // The trial that this node holds did not crash its endpoint. Another one is
  // needed if endpoints crashed meanwhile.
  void OnTrialRan(Time now, Fingerprint fingerprint);
  void OnBroken(Time now, const BrokenAttempt& attempt);
  // A run of the request did not crash its endpoint.
  void OnHarmless(Time now, Fingerprint fingerprint);
  // A run of a request with these suspects, which began at `began`, did not
  // crash its endpoint.
  void OnPartsHarmless(Time now,
                       Time began,
                       const std::vector<CrashSuspect>& suspects);
  // Returns when a refused caller should return.
  Duration RetryAfter(Time now, Fingerprint fingerprint) const;
  // Returns the event that tells why the request is refused, or an empty id.
  EventId CauseOfRefusal(Fingerprint fingerprint) const;

  // Endpoints, other nodes and the key-value service -------------------------

  void OnCheckReply(Time now, const VmId& vm, ProbeResult result);
  // Another node heard from the endpoint at this time.
  void OnContactElsewhere(const VmId& vm, Time contact) {
    detector_.OnContactElsewhere(vm, contact);
  }
  // This node has lost its paths to the endpoints.
  void OnPathsLost() { detector_.DropUnconfirmed(); }
  // The VM's registration changed. `run` is absent if it was removed.
  void OnRegistration(Time now, const VmId& vm, std::optional<Incarnation> run);
  void OnNotices(Time now, const std::vector<CrashNotice>& notices);
  void OnRecordPut(Time now, const StoreEntry& entry);
  void OnRecordDeleted(Time now, const std::string& key);
  void OnStoreReply(Time now, StoreCallId id, const StoreReply& reply);
  // This node started while the key-value service was away and no other node
  // passed on its copy, so all that knew of crashes may be lost.
  void OnEvidenceLost(Time now) { records_.ReportLostEvidence(now); }
  // `paths_in_doubt` is true while this node may have lost its paths to
  // endpoints.
  void Tick(Time now, bool paths_in_doubt);
  // Called by the one node that tidies up.
  void RemoveExpired(Time now) { records_.RemoveExpired(now); }

  // Operators ----------------------------------------------------------------

  // Returns false if nothing is known of the request.
  bool Lift(Time now, Fingerprint fingerprint);
  std::vector<CrashBlock> Blocks(Time now) const;
  // Whether crashes may be unknown because all nodes that knew them were lost.
  bool MayLackEvidence(Time now) const { return records_.MayLackEvidence(now); }
  // What other nodes should know of the request before they run it; empty if
  // nothing is known of it.
  std::vector<CrashNotice> NoticesOf(Time now, Fingerprint fingerprint) const {
    return evidence_.NoticesOf(now, fingerprint);
  }
  std::size_t blocked_requests(Time now) const {
    return records_.Blocked(now).size();
  }
  std::size_t suspected_requests(Time now) const {
    return evidence_.CountSuspects(now);
  }

  Duration proof_time() const { return settings_.proof_time; }
  Duration part_proof_time() const { return settings_.part_proof_time; }
  std::vector<CheckEndpoint> TakeChecks() { return detector_.TakeChecks(); }
  // Returns the endpoints of which other nodes are to be asked whether they
  // still hear from them.
  std::vector<VmId> TakeWitnessQueries() {
    return detector_.TakeWitnessQueries();
  }
  std::vector<CrashNotice> TakeNotices(Time now) {
    return evidence_.TakeNotices(now);
  }
  std::vector<StoreRequest> TakeStoreRequests() {
    return records_.TakeRequests();
  }
  std::vector<CrashDecision> TakeDecisions();

 private:
  struct Waiting {
    CrashSuspect suspect;
    Time started;
    Time deadline;
  };

  // The crashes that count against the request, from all nodes and its record.
  std::set<CrashId> KnownCrashes(Time now, Fingerprint fingerprint) const;
  bool MustBeTried(Time now, Fingerprint fingerprint) const;
  CrashVerdict JudgePart(Time now, Fingerprint part) const;
  // Rounds of crashes under the part that no likelier culprit explains.
  std::size_t UnexplainedRounds(Time now, Fingerprint part) const;
  void UpdateRounds(Time now) const;
  // The suspect without a mark, with the name of its part.
  CrashSuspect SuspectOf(Fingerprint fingerprint) const;
  // Number of failed trials after which the suspect is blocked, if the last one
  // ended so.
  std::int64_t NeededFailures(Time now,
                              Fingerprint fingerprint,
                              const CrashId& crash) const;
  void HandleCrashes(Time now);
  // Endpoints refused a check. They count as crashed for a short time.
  void HandleRefusals(Time now);
  // Adds the crashes that this node noticed to the request's record.
  void RecordOwnCrashes(Time now, Fingerprint fingerprint);
  void OnSuspectCrash(Time now,
                      const CrashSuspect& suspect,
                      const CrashId& crash);
  // The endpoint of this node's trial crashed.
  void OnTrialCrashed(Time now, Fingerprint fingerprint, const CrashId& crash);
  // Moves the deadlines of copies that wait while another copy is tried out.
  void ExtendWaits(Time now, Fingerprint fingerprint);
  // Whether the endpoint of this node's trial may have crashed.
  bool IsTrialUndecided(Fingerprint fingerprint) const;
  // Decides on the waiting copies of the request.
  void Review(Time now, Fingerprint fingerprint);
  void Decide(ForwardId id,
              Fingerprint fingerprint,
              bool may_run,
              bool is_trial,
              bool is_untried = false);
  // Whether the request may run although no trial was granted in time.
  bool MayRunUntried(Time now, Fingerprint fingerprint) const;
  // Reports that the request runs only as a trial from now on.
  void ReportSuspicion(Time now, Fingerprint fingerprint);
  // Forgets reported requests whose evidence has expired.
  void ForgetSuspicions(Time now);
  // Reports the begin and the end of a block.
  void ReportBlock(Time now, Fingerprint fingerprint);
  // Clears the crashes before `began`, and the restrictions if there are no
  // others.
  void Clear(Time now,
             Fingerprint fingerprint,
             Time began,
             std::string_view reason);

  CrashGuardSettings settings_;
  IsExpectedToRun is_expected_to_run_;
  CountEndpoints count_endpoints_;
  EventSink events_;
  CrashDetector detector_;
  CrashEvidence evidence_;
  CrashRecords records_;
  ProofLog proofs_;
  std::map<ForwardId, Waiting> waiting_;
  // The endpoints at which this node's trials run.
  std::map<Fingerprint, CrashId> trials_;
  // The suspicions that were reported, with their events.
  std::map<Fingerprint, EventId> reported_suspicions_;
  // The blocks that were reported, with their events.
  std::map<Fingerprint, EventId> reported_blocks_;
  std::vector<CrashDecision> decisions_;
  // Computed when it is needed, and the state that it was computed from.
  mutable std::map<Fingerprint, std::size_t> part_rounds_;
  mutable std::pair<std::int64_t, std::int64_t> rounds_changes_ = {-1, -1};
  mutable Time rounds_updated_;
  bool paths_in_doubt_ = false;
};

}  // namespace gcw

#endif  // COORDINATION_GATEWAY_CRASH_GUARD_H_
