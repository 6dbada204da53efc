#ifndef COORDINATION_MEMBERSHIP_SUSPECT_TABLE_H_
#define COORDINATION_MEMBERSHIP_SUSPECT_TABLE_H_

#include <cstdint>
#include <set>
#include <unordered_map>

#include "coordination/membership/membership_messages.h"

namespace gcw {

enum class SuspectLevel { kNone, kSuspect, kBlocked };

struct SuspectSettings {
  // Number of lost endpoints at which a fingerprint is blocked; at least 2. All
  // losses that a fingerprint shares with other requests together count as one,
  // because any of those requests may have caused them.
  std::int64_t block_threshold = 2;
  // Evidence older than this is forgotten.
  Duration expiry = Duration::Seconds(1800);
  // Bounds the memory; if the table is full, new suspects are ignored.
  std::size_t max_suspects = 20000;
};

// The suspected fingerprints that one node knows of.
class SuspectTable {
 public:
  explicit SuspectTable(SuspectSettings settings);

  // An endpoint was lost while several requests ran on it, this one among them.
  void AddSharedLoss(Time now, Fingerprint fingerprint);
  // An endpoint was lost while this was the only suspect on it.
  void AddSoleSuspectLoss(Time now, Fingerprint fingerprint);
  // The request ended normally while its endpoint was watched. A blocked
  // fingerprint stays blocked.
  void Clear(Time now, Fingerprint fingerprint);
  void Merge(Time now, const FingerprintDelta& delta);

  SuspectLevel Level(Time now, Fingerprint fingerprint) const;
  // Returns the delta that tells other nodes about the fingerprint.
  FingerprintDelta Delta(Time now, Fingerprint fingerprint) const;
  // Sets the fingerprints that operators exempt from suspicion.
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
