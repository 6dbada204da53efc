#ifndef COORDINATION_ADMISSION_TOKEN_ESTIMATOR_H_
#define COORDINATION_ADMISSION_TOKEN_ESTIMATOR_H_

#include <unordered_map>

#include "coordination/requests/request.h"

namespace gcw {

// Learns how many tokens each contract's requests generate, so that a request
// whose caller allows thousands does not block its contract's token rate for
// the hundred that it will use.
class TokenEstimator {
 public:
  // Prompt plus the learned mean, at most the caller's maximum.
  TokenCount Estimate(const RequestProfile& profile) const;
  void Learn(const ContractId& contract, TokenCount generated);
  void Forget(const ContractId& contract) { means_.erase(contract); }

 private:
  std::unordered_map<ContractId, double> means_;
};

}  // namespace gcw

#endif  // COORDINATION_ADMISSION_TOKEN_ESTIMATOR_H_
