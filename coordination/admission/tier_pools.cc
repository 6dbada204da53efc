#include "coordination/admission/tier_pools.h"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

#include "coordination/stable_hash.h"

namespace gcw {
namespace {

std::int64_t PaidRequestsAt(const EndpointHeadroom& endpoint) {
  return endpoint.paid.value_or(endpoint.running + endpoint.queued);
}

}  // namespace

TierPools::TierPools(const AdmissionSettings& settings)
    : settings_(&settings) {}

// Sorts by hash, so that the first endpoints are spread over the data centres.
void TierPools::SortByHash(std::vector<EndpointHeadroom>& endpoints) {
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

// Number of endpoints that hold `paid` requests at the target fill.
std::size_t TierPools::EndpointsNeededFor(double paid) const {
  double capacity = 0;
  std::size_t needed = 0;
  while (needed < endpoints_.size() && capacity < paid) {
    capacity += settings_->paid_fill_target *
                static_cast<double>(endpoints_[needed].batch_limit);
    ++needed;
  }
  return needed;
}

void TierPools::Update(Time now,
                       std::vector<EndpointHeadroom> endpoints,
                       std::int64_t unreported_paid) {
  endpoints_ = std::move(endpoints);
  SortByHash(endpoints_);
  auto paid = static_cast<double>(unreported_paid);
  for (const EndpointHeadroom& endpoint : endpoints_) {
    paid += static_cast<double>(PaidRequestsAt(endpoint));
  }
  paid_count_ = std::min(MaxRecentlyNeeded(now, EndpointsNeededFor(paid)),
                         endpoints_.size());
}

// Records `needed` and returns the maximum of the last `shrink_delay`, so that
// the division follows a rise at once and ignores short dips.
std::size_t TierPools::MaxRecentlyNeeded(Time now, std::size_t needed) {
  while (!recent_needed_.empty() && recent_needed_.back().count <= needed) {
    recent_needed_.pop_back();
  }
  recent_needed_.push_back({now, needed});
  while (recent_needed_.front().when + settings_->shrink_delay < now) {
    recent_needed_.pop_front();
  }
  return recent_needed_.front().count;
}

std::size_t TierPools::trial_begin() const {
  const auto reserve = static_cast<std::size_t>(std::max(
      1.0,
      std::ceil(settings_->paid_reserve * static_cast<double>(paid_count_))));
  return std::min(paid_count_ + reserve, endpoints_.size());
}

}  // namespace gcw
