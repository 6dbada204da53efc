#include "coordination/tier_pools.h"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

#include "coordination/stable_hash.h"

namespace gcw {
namespace {

// One endpoint less must do with this share of its target, or the division
// would swing to and fro.
constexpr double kShrinkTarget = 0.85;

std::int64_t PaidAt(const EndpointHeadroom& endpoint) {
  return endpoint.paid.value_or(endpoint.running + endpoint.queued);
}

}  // namespace

TierPools::TierPools(const AdmissionSettings& settings)
    : settings_(&settings) {}

// By hash, so that the first endpoints are spread over the data centres.
void TierPools::SortAlikeEverywhere(std::vector<EndpointHeadroom>& endpoints) {
  const auto key = [](const EndpointHeadroom& e) {
    return std::pair(StableHash(e.endpoint.value()), &e.endpoint.value());
  };
  std::sort(endpoints.begin(), endpoints.end(),
            [&key](const auto& a, const auto& b) {
              const auto [hash_a, id_a] = key(a);
              const auto [hash_b, id_b] = key(b);
              return std::tie(hash_a, *id_a) < std::tie(hash_b, *id_b);
            });
}

// How many endpoints hold `paid` requests at the target.
std::size_t TierPools::NeededFor(double paid) const {
  double held = 0;
  std::size_t needed = 0;
  while (needed < endpoints_.size() && held < paid) {
    held += settings_->paid_target *
            static_cast<double>(endpoints_[needed].batch_limit);
    ++needed;
  }
  return needed;
}

void TierPools::Update(Time now,
                       std::vector<EndpointHeadroom> endpoints,
                       std::int64_t unreported_paid) {
  endpoints_ = std::move(endpoints);
  SortAlikeEverywhere(endpoints_);
  auto paid = static_cast<double>(unreported_paid);
  for (const EndpointHeadroom& endpoint : endpoints_) {
    paid += static_cast<double>(PaidAt(endpoint));
  }
  paid_count_ = std::min(paid_count_, endpoints_.size());
  const std::size_t needed = NeededFor(paid);
  const bool was_too_many = is_too_many_;
  is_too_many_ = NeededFor(paid / kShrinkTarget) < paid_count_;
  if (needed >= paid_count_) {
    paid_count_ = needed;
    return;
  }
  if (is_too_many_ && !was_too_many) {
    too_many_since_ = now;
  }
  if (is_too_many_ && now >= too_many_since_ + settings_->shrink_after) {
    --paid_count_;
    too_many_since_ = now;
  }
}

std::size_t TierPools::trial_begin() const {
  const auto reserve = static_cast<std::size_t>(std::max(
      1.0,
      std::ceil(settings_->paid_reserve * static_cast<double>(paid_count_))));
  return std::min(paid_count_ + reserve, endpoints_.size());
}

}  // namespace gcw
