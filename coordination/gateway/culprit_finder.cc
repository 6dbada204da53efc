#include "coordination/gateway/culprit_finder.h"

#include <algorithm>
#include <cstdint>
#include <iterator>
#include <tuple>
#include <utility>

namespace gcw {
namespace {

// Orders culprits, the likeliest first.
using Likelihood = std::tuple<bool, std::int64_t, std::int64_t>;

Likelihood LikelihoodOf(const SuspectPart& part) {
  return {!part.is_blocked, -std::ssize(part.apart_crashes),
          -std::ssize(part.other_crashes)};
}

std::size_t CountRounds(const SuspectPart& part,
                        const std::set<CrashId>& explained) {
  const auto is_unexplained = [&](const CrashId& crash) {
    return !explained.contains(crash);
  };
  const auto apart = std::count_if(part.apart_crashes.begin(),
                                   part.apart_crashes.end(), is_unexplained);
  const bool has_others = std::any_of(part.other_crashes.begin(),
                                      part.other_crashes.end(), is_unexplained);
  return static_cast<std::size_t>(apart) + (has_others ? 1 : 0);
}

}  // namespace

std::map<Fingerprint, std::size_t> CountUnexplainedRounds(
    const std::vector<SuspectPart>& parts,
    std::size_t culprit_rounds) {
  std::map<Likelihood, std::vector<const SuspectPart*>> by_likelihood;
  for (const SuspectPart& part : parts) {
    by_likelihood[LikelihoodOf(part)].push_back(&part);
  }
  std::map<Fingerprint, std::size_t> rounds_of;
  std::set<CrashId> explained;
  for (const auto& [likelihood, alike] : by_likelihood) {
    std::set<CrashId> explained_by_these;
    for (const SuspectPart* part : alike) {
      const std::size_t rounds = CountRounds(*part, explained);
      rounds_of[part->fingerprint] = rounds;
      if (rounds >= culprit_rounds || (part->is_blocked && rounds > 0)) {
        for (const auto* crashes :
             {&part->apart_crashes, &part->other_crashes}) {
          explained_by_these.insert(crashes->begin(), crashes->end());
        }
      }
    }
    explained.merge(explained_by_these);
  }
  return rounds_of;
}

}  // namespace gcw
