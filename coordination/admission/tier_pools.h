#ifndef COORDINATION_ADMISSION_TIER_POOLS_H_
#define COORDINATION_ADMISSION_TIER_POOLS_H_

#include <cstdint>
#include <deque>
#include <vector>

#include "coordination/admission/admission_settings.h"
#include "coordination/admission/headroom.h"

namespace gcw {

// Divides a model's endpoints between paid and trial work. In one batch each
// trial request lengthens every step of the paid ones, whatever its priority,
// so that the tiers never share an endpoint: paid work fills the first
// endpoints up to a target, a reserve stands free for what arrives next, and
// trial work gets the rest. How paid work is placed does not depend on whether
// there is trial work, so neither does how fast it is.
//
// All nodes order the endpoints alike and see about the same reports, so that
// they come to about the same division without asking each other; the reserve
// takes up the difference.
class TierPools {
 public:
  explicit TierPools(const AdmissionSettings& settings);

  // `endpoints` in any order; `unreported_paid` is what this node admitted
  // since the reports were taken.
  void Update(Time now,
              std::vector<EndpointHeadroom> endpoints,
              std::int64_t unreported_paid);

  // Paid work goes to the first endpoints, the reserve and trial work to those
  // that follow.
  const std::vector<EndpointHeadroom>& endpoints() const { return endpoints_; }
  std::size_t paid_count() const { return paid_count_; }
  // First of those open to trial work.
  std::size_t trial_begin() const;

 private:
  static void SortAlikeEverywhere(std::vector<EndpointHeadroom>& endpoints);
  std::size_t NeededFor(double paid) const;
  std::size_t HighestNeeded(Time now, std::size_t needed);

  const AdmissionSettings* settings_;
  std::vector<EndpointHeadroom> endpoints_;
  std::size_t paid_count_ = 0;
  struct Needed {
    Time when;
    std::size_t count = 0;
  };
  // Falling counts; each was the highest from then on.
  std::deque<Needed> needed_;
};

}  // namespace gcw

#endif  // COORDINATION_ADMISSION_TIER_POOLS_H_
