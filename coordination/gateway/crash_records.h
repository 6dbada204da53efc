#ifndef COORDINATION_GATEWAY_CRASH_RECORDS_H_
#define COORDINATION_GATEWAY_CRASH_RECORDS_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "coordination/actions.h"
#include "coordination/gateway/crash_suspect.h"
#include "state/state.h"

namespace gcw {

struct CrashRecordsSettings {
  // A trial without a result is over after this time.
  Duration trial_ttl = Duration::Seconds(10);
  // A request whose trials bring no result is blocked after this many of them.
  std::int64_t max_open_trials = 2;
  // The same for parts of prompts. Many healthy requests may share a part, so
  // that none of them may wait for long because of one caller or endpoint.
  Duration part_trial_ttl = Duration::Seconds(4);
  Duration part_undecided_block_time = Duration::Seconds(4);
  // A request is blocked for so long after its first failed trial. Each further
  // failed trial doubles the time.
  Duration block_time = Duration::Seconds(600);
  Duration max_block_time = Duration::Seconds(7200);
  // Records that nothing has changed for this long are removed, those of
  // requests that were never tried out sooner.
  Duration record_ttl = Duration::Seconds(24L * 3600);
  Duration untried_record_ttl = Duration::Seconds(1800);
  // No further requests are recorded.
  std::size_t max_records = 256;
  // Evidence that was lost would have counted for this long.
  Duration lost_evidence_ttl = Duration::Seconds(1800);
  // Delay before a write that the service did not confirm is repeated, and
  // before another trial of the request is asked for.
  Duration retry_delay = Duration::Seconds(1);
};

// The keys that hold records of requests under which endpoints crashed.
struct CrashRecordCodec {
  std::function<std::string(const CrashRecord&)> encode;
  // Returns an absent value if the text cannot be parsed, and logs the reason.
  std::function<std::optional<CrashRecord>(std::string_view)> decode;
};

// What the whole fleet has agreed on about requests under which endpoints
// crashed, kept in the key-value service, so that it outlives every node. Each
// change is a compare-and-swap, so that one node at a time tries a request out.
class CrashRecords {
 public:
  enum class State {
    // Nothing is recorded that restricts the request.
    kOpen,
    // It may run as a trial.
    kNeedsTrial,
    kTrialRuns,
    kBlocked,
  };

  // `self` identifies this run of the node.
  CrashRecords(CrashRecordsSettings settings,
               CrashRecordCodec codec,
               std::int64_t self);

  // The service shows the key. Returns the request if its record changed.
  std::optional<Fingerprint> OnPut(Time now, const StoreEntry& entry);
  std::optional<Fingerprint> OnDeleted(const std::string& key);
  // Returns the request that the call was about, or nothing if the call is not
  // pending.
  std::optional<Fingerprint> OnStoreReply(Time now,
                                          StoreCallId id,
                                          const StoreReply& reply);
  void Tick(Time now);

  // Adds crashes to what is recorded.
  void Record(Time now,
              const CrashSuspect& suspect,
              const std::set<CrashId>& crashes);
  // Asks for a trial, unless one runs; `HoldsTrial` tells whether it was
  // granted. Returns whether it asked.
  bool RequestTrial(Time now,
                    const CrashSuspect& suspect,
                    const std::set<CrashId>& crashes);
  // Allows others to try the request out, if this node holds the trial.
  void ReturnTrial(Fingerprint fingerprint);
  // The trial that this node holds crashed its endpoint. The request is blocked
  // if that was the last of `needed_failures` such trials.
  void OnTrialFailed(Time now,
                     Fingerprint fingerprint,
                     const std::set<CrashId>& crashes,
                     std::int64_t needed_failures);
  // The request is harmless, or operators allow it.
  void Remove(Time now, Fingerprint fingerprint);
  // Removes the records that nothing has changed for a long time.
  void RemoveExpired(Time now);
  // All nodes that knew of crashes may have been lost before these were
  // recorded. Tells all nodes, also those that start later.
  void ReportLostEvidence(Time now);
  // Whether crashes may be unknown because of that.
  bool MayLackEvidence(Time now) const { return now < lost_evidence_.until; }

  State StateOf(Time now, Fingerprint fingerprint) const;
  // Returns how long the request stays blocked.
  Duration BlockedFor(Time now, Fingerprint fingerprint) const;
  // Whether this node holds the request's open trial.
  bool HoldsTrial(Fingerprint fingerprint) const {
    return held_trials_.contains(fingerprint);
  }
  // Whether a write of the request's record is pending.
  bool IsWriting(Fingerprint fingerprint) const {
    return writes_.contains(fingerprint);
  }
  // When this node first saw the record as it is; `Time()` if there is none.
  Time SeenAt(Fingerprint fingerprint) const;
  // Null if nothing is recorded.
  const CrashRecord* Find(Fingerprint fingerprint) const;
  // Number of changes so far.
  std::int64_t changes() const { return changes_; }
  std::vector<Fingerprint> Blocked(Time now) const;
  std::vector<Fingerprint> All() const;

  std::vector<StoreRequest> TakeRequests();

 private:
  struct Known {
    CrashRecord record;
    Revision revision;
    // When this node first saw the revision.
    Time seen;
  };
  enum class Purpose { kRecord, kTrial, kFailedTrial, kRemove };
  struct Write {
    StoreCallId call;
    Purpose purpose = Purpose::kRecord;
    CrashRecord proposed;
    // Of a failed trial, as in `OnTrialFailed`.
    std::int64_t needed_failures = 1;
  };
  // A write that is to be repeated because it got no answer.
  struct Retry {
    Write write;
    Time at;
  };

  // The key that says until when evidence may be missing.
  struct LostEvidence {
    Time until;
    // What the key says.
    Time recorded;
    Revision revision;
    // What this node writes, until the service has confirmed it.
    std::optional<Time> proposed;
    std::optional<StoreCallId> call;
    Time next_call;
  };

  static std::string KeyOf(Fingerprint fingerprint);
  static std::optional<Fingerprint> FingerprintOf(std::string_view key);
  void Put(Fingerprint fingerprint,
           Purpose purpose,
           CrashRecord proposed,
           std::int64_t needed_failures = 1);
  void Adopt(Time now, Fingerprint fingerprint, const StoreEntry& entry);
  void OnWritten(Time now,
                 Fingerprint fingerprint,
                 const Write& write,
                 Revision revision);
  void OnConflict(Time now,
                  Fingerprint fingerprint,
                  const Write& write,
                  const StoreConflict& conflict);
  // Writes that the recorded trial was not used.
  void ReleaseTrial(Fingerprint fingerprint);
  void RetryLater(Time now, Fingerprint fingerprint, const Write& write);
  void AdoptLostEvidence(Time now, const StoreEntry& entry);
  void WriteLostEvidence(Time now);
  void OnLostEvidenceReply(Time now, const StoreReply& reply);
  Duration BlockTime(std::int64_t failed_trials) const;
  Duration TrialTtl(Fingerprint fingerprint) const;

  CrashRecordsSettings settings_;
  CrashRecordCodec codec_;
  std::int64_t self_;
  std::map<Fingerprint, Known> records_;
  std::map<Fingerprint, Write> writes_;
  std::map<Fingerprint, Retry> retries_;
  std::set<Fingerprint> held_trials_;
  // When a trial may be asked for again after the service did not grant one.
  std::map<Fingerprint, Time> trial_retries_;
  LostEvidence lost_evidence_;
  StoreCallId last_call_;
  std::int64_t changes_ = 0;
  std::vector<StoreRequest> requests_;
};

}  // namespace gcw

#endif  // COORDINATION_GATEWAY_CRASH_RECORDS_H_
