#ifndef COORDINATION_ADMISSION_TOKEN_ESTIMATOR_H_
#define COORDINATION_ADMISSION_TOKEN_ESTIMATOR_H_

#include <unordered_map>

#include "coordination/requests/request.h"

namespace gcw {

// Learns how many tokens each contract's requests generate, so that a request
// that allows thousands of tokens but generates a hundred does not block its
// contract's token rate.
class TokenEstimator {
 public:
  // Prompt tokens plus the learned mean of generated tokens, which is capped at
  // the caller's maximum.
  TokenCount Estimate(const RequestProfile& profile) const;
  void Learn(const ContractId& contract, TokenCount generated);
  void Remove(const ContractId& contract) { means_.erase(contract); }

 private:
  std::unordered_map<ContractId, double> means_;
};

}  // namespace gcw

#endif  // COORDINATION_ADMISSION_TOKEN_ESTIMATOR_H_
