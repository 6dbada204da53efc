#ifndef COORDINATION_GATEWAY_PROOF_LOG_H_
#define COORDINATION_GATEWAY_PROOF_LOG_H_

#include <cstddef>
#include <unordered_map>

#include "core/core.h"

namespace gcw {

// Remembers when suspects, which are requests or parts of prompts, last ran
// without a crash. Bounded: those that were not proven of late are forgotten.
class ProofLog {
 public:
  explicit ProofLog(std::size_t max_suspects) : max_suspects_(max_suspects) {}

  void OnProven(Time now, Fingerprint suspect);
  bool Contains(Fingerprint suspect) const {
    return recent_.contains(suspect) || older_.contains(suspect);
  }
  // Returns `Time()` if no proof is remembered.
  Time LastProof(Fingerprint suspect) const;

 private:
  std::size_t max_suspects_;
  std::unordered_map<Fingerprint, Time> recent_;
  std::unordered_map<Fingerprint, Time> older_;
};

}  // namespace gcw

#endif  // COORDINATION_GATEWAY_PROOF_LOG_H_
