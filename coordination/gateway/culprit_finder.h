#ifndef COORDINATION_GATEWAY_CULPRIT_FINDER_H_
#define COORDINATION_GATEWAY_CULPRIT_FINDER_H_

#include <cstddef>
#include <map>
#include <set>
#include <vector>

#include "state/state.h"

namespace gcw {

// A part of prompts, and the endpoints that crashed under it.
struct SuspectPart {
  Fingerprint fingerprint;
  // Crashes of endpoints that ran the part apart, after it was suspected.
  std::set<CrashId> apart_crashes;
  std::set<CrashId> other_crashes;
  bool is_blocked = false;
};

// Returns the rounds of crashes under each part that no likelier culprit
// explains. All crashes of requests that were sent before the part was
// suspected are one round, and each crash of an endpoint that ran it apart is
// another one.
//
// Sound parts are suspects because they stood beside bad ones, so the culprits
// are the fewest parts that explain all crashes: those that are blocked come
// first, then those with the most crashes of endpoints that ran them apart,
// which popular parts do not have by chance. Parts with the same numbers do not
// explain each other's. A culprit has at least `culprit_rounds`.
std::map<Fingerprint, std::size_t> CountUnexplainedRounds(
    const std::vector<SuspectPart>& parts,
    std::size_t culprit_rounds);

}  // namespace gcw

#endif  // COORDINATION_GATEWAY_CULPRIT_FINDER_H_
