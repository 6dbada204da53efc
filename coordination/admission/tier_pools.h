#ifndef COORDINATION_ADMISSION_TIER_POOLS_H_
#define COORDINATION_ADMISSION_TIER_POOLS_H_

#include <cstdint>
#include <deque>
#include <vector>

#include "coordination/admission/admission_settings.h"
#include "coordination/admission/headroom.h"

namespace gcw {

// Divides a model's endpoints between paid and trial work. A trial request in
// the same batch lengthens every step of the paid requests, whatever its
// priority, so the tiers never share an endpoint: paid work fills the first
// endpoints up to a target, a reserve stays free for new paid requests, and
// trial work gets the rest. The placement of paid work, and so its speed, does
// not depend on trial work.
//
// All nodes order the endpoints in the same way and have about the same
// reports, so that they arrive at about the same division without coordination;
// the reserve absorbs the differences.
class TierPools {
 public:
  explicit TierPools(const AdmissionSettings& settings);

  // `endpoints` may be in any order. `unreported_paid` is the number of paid
  // requests that this node admitted, less those that finished, since the
  // reports were taken.
  void Update(Time now,
              std::vector<EndpointHeadroom> endpoints,
              std::int64_t unreported_paid);

  // The endpoints in order: first those of paid work, then the reserve, then
  // those of trial work.
  const std::vector<EndpointHeadroom>& endpoints() const { return endpoints_; }
  std::size_t paid_count() const { return paid_count_; }
  // Index of the first endpoint of trial work.
  std::size_t trial_begin() const;

 private:
  static void SortByHash(std::vector<EndpointHeadroom>& endpoints);
  std::size_t EndpointsNeededFor(double paid) const;
  std::size_t MaxRecentlyNeeded(Time now, std::size_t needed);

  const AdmissionSettings* settings_;
  std::vector<EndpointHeadroom> endpoints_;
  std::size_t paid_count_ = 0;
  struct NeededSample {
    Time when;
    std::size_t count = 0;
  };
  // Decreasing counts; each is the maximum since its time.
  std::deque<NeededSample> recent_needed_;
};

}  // namespace gcw

#endif  // COORDINATION_ADMISSION_TIER_POOLS_H_
