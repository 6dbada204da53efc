#ifndef COORDINATION_SUSPECT_TABLE_H_
#define COORDINATION_SUSPECT_TABLE_H_

#include <cstdint>
#include <set>
#include <unordered_map>
#include <vector>

#include "coordination/guard_messages.h"

namespace gcw {

enum class SuspectLevel { kNone, kSuspect, kBlocked };

struct SuspectSettings {
  // Endpoints that a fingerprint may take before it is refused. Losses in
  // company count once together, since any of many requests may have caused
  // them.
  std::int64_t most_endpoints = 2;
  // Evidence older than this is forgotten.
  Duration expiry = Duration::Seconds(1800);
  std::size_t most_suspects = 20000;
};

// The suspected fingerprints as this node knows them.
class SuspectTable {
 public:
  explicit SuspectTable(SuspectSettings settings);

  // Return whether anything changed and should be spread.
  bool AddLoss(Time now,
               Fingerprint fingerprint,
               const EndpointRun& endpoint,
               LossKind kind);
  bool Clear(Time now, Fingerprint fingerprint);
  bool Merge(Time now, const SuspectRumor& rumor);

  SuspectLevel Level(Time now, Fingerprint fingerprint) const;
  SuspectRumor Rumor(Time now, Fingerprint fingerprint) const;
  std::vector<SuspectRumor> Rumors(Time now) const;
  // The operators' word: these are never suspected.
  void SetAllowed(std::set<Fingerprint> allowed);
  void Tick(Time now);

 private:
  struct Suspect {
    std::int64_t version = 0;
    std::map<EndpointRun, LossKind> losses;
    Time expires;
  };

  SuspectSettings settings_;
  std::unordered_map<Fingerprint, Suspect> suspects_;
  std::set<Fingerprint> allowed_;
};

}  // namespace gcw

#endif  // COORDINATION_SUSPECT_TABLE_H_
