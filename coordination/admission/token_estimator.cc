#include "coordination/admission/token_estimator.h"

#include <algorithm>
#include <cmath>

namespace gcw {
namespace {

// Weight of the newest request: the mean covers about the last fifty requests.
constexpr double kLearningRate = 0.02;

}  // namespace

TokenCount TokenEstimator::Estimate(const RequestProfile& profile) const {
  const auto found = means_.find(profile.contract);
  if (found == means_.end()) {
    return profile.prompt_tokens + profile.max_generated_tokens;
  }
  const TokenCount mean(static_cast<std::int64_t>(std::ceil(found->second)));
  return profile.prompt_tokens + std::min(mean, profile.max_generated_tokens);
}

void TokenEstimator::Learn(const ContractId& contract, TokenCount generated) {
  const auto amount = static_cast<double>(generated.value());
  const auto [entry, is_new] = means_.try_emplace(contract, amount);
  if (!is_new) {
    entry->second += kLearningRate * (amount - entry->second);
  }
}

}  // namespace gcw
