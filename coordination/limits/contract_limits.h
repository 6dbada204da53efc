#ifndef COORDINATION_LIMITS_CONTRACT_LIMITS_H_
#define COORDINATION_LIMITS_CONTRACT_LIMITS_H_

#include <cstdint>
#include <unordered_map>

#include "coordination/limits/limit_vector.h"

namespace gcw {

// The limits of all contracts that this node knows.
class ContractLimits {
 public:
  void Set(const ContractId& contract, const LimitVector& limit) {
    limits_.insert_or_assign(contract, limit);
  }
  void Remove(const ContractId& contract) { limits_.erase(contract); }

  // Zero for an unknown contract.
  LimitVector LimitOf(const ContractId& contract) const {
    const auto found = limits_.find(contract);
    return found == limits_.end() ? LimitVector() : found->second;
  }
  // One running request as a fraction of the contract's concurrency limit.
  double ConcurrencyUnit(const ContractId& contract) const {
    const double limit = LimitOf(contract)[LimitResource::kConcurrency];
    return limit > 0 ? 1 / limit : 1;
  }

 private:
  std::unordered_map<ContractId, LimitVector> limits_;
};

}  // namespace gcw

#endif  // COORDINATION_LIMITS_CONTRACT_LIMITS_H_
