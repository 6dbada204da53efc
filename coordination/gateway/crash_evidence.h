#ifndef COORDINATION_GATEWAY_CRASH_EVIDENCE_H_
#define COORDINATION_GATEWAY_CRASH_EVIDENCE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <unordered_map>
#include <vector>

#include "coordination/gateway/crash_suspect.h"
#include "coordination/gateway/culprit_finder.h"
#include "state/state.h"

namespace gcw {

struct CrashEvidenceSettings {
  // Evidence is forgotten this long after the last news of the request.
  Duration ttl = Duration::Seconds(1800);
  // Bounds the memory. Of the suspects with the fewest crashes, the one that
  // was least recently news is dropped.
  std::size_t max_requests = 4096;
  // Further crashes of a request are not listed.
  std::size_t max_crashes = 16;
  // A crash that is not confirmed counts for this long: by then the endpoint's
  // process has been found gone or alive.
  Duration unconfirmed_ttl = Duration::Seconds(1);
  // Other nodes are told at most once in this time, unless a request has
  // crashed `urgent_crashes` endpoints: callers come back with it within
  // milliseconds.
  Duration notice_interval = Duration::Millis(40);
  std::size_t urgent_crashes = 2;
  // Such news is told once more after this time, because a few nodes miss each
  // notice that is passed on at random.
  Duration repeat_delay = Duration::Seconds(1);
  // Maximum number of requests in one message to other nodes.
  std::size_t max_notices = 64;
};

// What is known of a crash, in the order in which it becomes known.
enum class CrashState {
  // A connection broke. The crash counts for a short time.
  kUnconfirmed,
  // The endpoint's process ended.
  kConfirmed,
  // A later run of the request did not crash its endpoint.
  kCleared,
};

struct CrashReport {
  CrashState state = CrashState::kConfirmed;
  // The time that has passed since the crash.
  Duration age;
  // The request was kept apart for the suspect.
  bool is_apart = false;
};

// Message between nodes: the endpoints that crashed under a suspect.
struct CrashNotice {
  Fingerprint fingerprint;
  // Empty for a whole request.
  PromptPartId part;
  std::map<CrashId, CrashReport> crashes;
};

// Counts, over all nodes, the endpoints that crashed under a suspect, which is
// a request or a part of prompts. A run with the suspect that does not crash
// its endpoint clears the crashes before it. Crashes are sets and times are
// maxima, so that notices may be lost, repeated and reordered.
class CrashEvidence {
 public:
  explicit CrashEvidence(CrashEvidenceSettings settings);

  // Each returns whether this is news. `AddCrash` is for crashes that this node
  // noticed itself.
  bool AddCrash(Time now, const CrashSuspect& suspect, const CrashId& crash);
  // The endpoint may have crashed. Other nodes are told only if the request is
  // suspected already, since connections break for other reasons too.
  void AddUnconfirmedCrash(Time now,
                           const CrashSuspect& suspect,
                           const CrashId& crash);
  // The same for an endpoint that refuses connections: the crash is likely, so
  // other nodes are told.
  bool AddLikelyCrash(Time now,
                      const CrashSuspect& suspect,
                      const CrashId& crash);
  // A run that began at `began` did not crash its endpoint. `recorded` are
  // crashes before that time that this node knows from the suspect's record.
  bool MarkHarmless(Time now,
                    Fingerprint fingerprint,
                    Time began,
                    const std::set<CrashId>& recorded);
  // Returns the requests of which it is news.
  std::vector<Fingerprint> OnNotices(Time now,
                                     const std::vector<CrashNotice>& notices);
  void Tick(Time now);

  // The crashes since the request was last known to be harmless.
  std::set<CrashId> Crashes(Time now, Fingerprint fingerprint) const;
  std::size_t CountCrashes(Time now, Fingerprint fingerprint) const;
  // The parts that an endpoint crashed under while it ran them apart.
  std::vector<SuspectPart> SuspectParts(Time now) const;
  // Number of endpoints that crashed within this time under other suspects and
  // not under this part, at whatever model, without the explained crashes.
  std::int64_t CountCrashesBeside(Time now,
                                  Fingerprint part,
                                  Duration time,
                                  std::set<CrashId> explained) const;
  // Number of parts that the endpoint ran apart when it crashed.
  std::size_t CountPartsApart(Time now, const CrashId& crash) const;
  // The suspect's part of prompts; empty for a whole request.
  PromptPartId PartOf(Fingerprint fingerprint) const;
  // The counted crashes that this node noticed itself.
  std::set<CrashId> OwnCrashes(Time now, Fingerprint fingerprint) const;
  // Whether the crash was counted, even if it is cleared.
  bool Knows(Fingerprint fingerprint, const CrashId& crash) const;
  // Whether all crashes are cleared.
  bool IsHarmless(Time now, Fingerprint fingerprint) const;
  // Number of requests with crashes.
  std::size_t CountSuspects(Time now) const;

  // Returns what is known of the suspect; empty if it has no crash that counts.
  std::vector<CrashNotice> NoticesOf(Time now, Fingerprint fingerprint) const;

  // Number of changes so far.
  std::int64_t changes() const { return changes_; }
  // Returns what other nodes should be told, at most one message.
  std::vector<CrashNotice> TakeNotices(Time now);

 private:
  struct Crash {
    CrashState state = CrashState::kUnconfirmed;
    Time at;
    // This node noticed it itself.
    bool is_own = false;
    bool is_apart = false;
    // Other nodes are not told.
    bool is_quiet = false;
  };
  struct Request {
    PromptPartId part;
    // Crashes that are cleared stay, because they may be reported once more.
    std::map<CrashId, Crash> crashes;
    Time last_news;
  };

  // Returns whether the state advanced.
  bool Advance(Time now,
               Fingerprint fingerprint,
               const CrashId& id,
               const Crash& crash);
  bool Counts(Time now, const Crash& crash) const;
  std::size_t CountCrashes(Time now, const Request& request) const;
  Request& FindOrAdd(Time now, Fingerprint fingerprint);
  // Names the part whose crashes were added.
  void SetPart(const CrashSuspect& suspect);
  // Returns what other nodes are to be told of the suspect.
  CrashNotice MakeNotice(Time now, Fingerprint fingerprint) const;
  void OnNews(Time now, Fingerprint fingerprint);
  void DropLeastSuspect(Time now);

  CrashEvidenceSettings settings_;
  std::unordered_map<Fingerprint, Request> requests_;
  // Requests that other nodes have not been told of.
  std::set<Fingerprint> news_;
  // When urgent news is to be told once more.
  std::map<Fingerprint, Time> repeats_;
  bool has_urgent_news_ = false;
  std::int64_t changes_ = 0;
  Time next_notice_;
  Time next_expiry_;
};

}  // namespace gcw

#endif  // COORDINATION_GATEWAY_CRASH_EVIDENCE_H_
