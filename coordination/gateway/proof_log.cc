#include "coordination/gateway/proof_log.h"

#include <utility>

namespace gcw {

void ProofLog::OnProven(Time now, Fingerprint suspect) {
  if (recent_.size() >= max_suspects_ / 2 && !recent_.contains(suspect)) {
    older_ = std::exchange(recent_, {});
  }
  recent_[suspect] = now;
}

Time ProofLog::LastProof(Fingerprint suspect) const {
  for (const auto* proofs : {&recent_, &older_}) {
    const auto found = proofs->find(suspect);
    if (found != proofs->end()) {
      return found->second;
    }
  }
  return Time();
}

}  // namespace gcw
