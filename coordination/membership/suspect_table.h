#ifndef COORDINATION_MEMBERSHIP_SUSPECT_TABLE_H_
#define COORDINATION_MEMBERSHIP_SUSPECT_TABLE_H_

#include <cstdint>
#include <set>
#include <unordered_map>

#include "coordination/membership/membership_messages.h"

namespace gcw {

enum class SuspectLevel { kNone, kSuspect, kBlocked };

struct SuspectSettings {
  // Endpoints that a fingerprint may take before it is refused, at least 2.
  // Losses in company count once together, since any of many requests may have
  // caused them.
  std::int64_t most_endpoints = 2;
  // Evidence older than this is forgotten.
  Duration expiry = Duration::Seconds(1800);
  // Bounds the memory; beyond it new suspects are not taken in.
  std::size_t most_suspects = 20000;
};

// The suspected fingerprints as one node knows them.
class SuspectTable {
 public:
  explicit SuspectTable(SuspectSettings settings);

  // An endpoint was lost on which many requests ran, this one among them.
  void AddLossInCompany(Time now, Fingerprint fingerprint);
  // An endpoint was lost on which this was the only suspect.
  void AddLossAlone(Time now, Fingerprint fingerprint);
  // It ended well while it was watched. A blocked one stays blocked.
  void Clear(Time now, Fingerprint fingerprint);
  void Merge(Time now, const FingerprintDelta& delta);

  SuspectLevel Level(Time now, Fingerprint fingerprint) const;
  // What to tell the other nodes.
  FingerprintDelta Delta(Time now, Fingerprint fingerprint) const;
  // The operators' override: these are never suspected.
  void SetAllowed(std::set<Fingerprint> allowed);
  void Tick(Time now);
  std::size_t size() const { return suspects_.size(); }

 private:
  struct Suspect {
    std::int64_t losses = 0;
    Time expires;
  };

  std::int64_t Losses(Time now, Fingerprint fingerprint) const;
  void Set(Fingerprint fingerprint, std::int64_t losses, Time expires);

  SuspectSettings settings_;
  std::unordered_map<Fingerprint, Suspect> suspects_;
  std::set<Fingerprint> allowed_;
};

}  // namespace gcw

#endif  // COORDINATION_MEMBERSHIP_SUSPECT_TABLE_H_
