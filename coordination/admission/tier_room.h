#ifndef COORDINATION_ADMISSION_TIER_ROOM_H_
#define COORDINATION_ADMISSION_TIER_ROOM_H_

#include <array>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <unordered_set>
#include <utility>
#include <vector>

#include "coordination/admission/admission_settings.h"
#include "coordination/admission/headroom.h"
#include "coordination/admission/tier_pools.h"
#include "state/state.h"

namespace gcw {

// Shared, because every admitted request carries the list.
using EndpointList = std::shared_ptr<const std::vector<EndpointId>>;

// Room that this node may use at one model or service: its part of the free
// room in the newest reports, corrected by the requests that this node started
// and finished since.
class TierRoom {
 public:
  TierRoom(const AdmissionSettings& settings, Random random);

  void Update(Time now, Headroom headroom);
  // True once there was a report.
  bool is_known() const { return headroom_.has_value(); }
  bool HasEndpoints() const;
  bool HasRoom(Time now, Tier tier) const;
  // Endpoints that requests of the tier may go to.
  const EndpointList& endpoints(Tier tier) const;
  bool IsOpenToTrial(const EndpointId& endpoint) const;

  void OnAdmitted(Time now, Tier tier);
  void OnFinished(Time now, Tier tier, const EndpointId& endpoint);

 private:
  struct Change {
    Time when;
    std::int64_t requests = 0;
  };
  struct TierState {
    // This node's part of the free room at the time of the reports.
    std::int64_t own_part = 0;
    // Requests that this node started and finished since, oldest first.
    std::deque<Change> changes;
    std::int64_t net_change = 0;
    EndpointList endpoints;
  };

  TierState& StateOf(Tier tier) { return tiers_[Index(tier)]; }
  const TierState& StateOf(Tier tier) const { return tiers_[Index(tier)]; }
  static std::size_t Index(Tier tier) { return tier == Tier::kPaid ? 0 : 1; }
  static void DropReported(TierState& state, Time taken_at);
  static void RecordChange(TierState& state, Time now, std::int64_t requests);
  std::int64_t OwnPartOf(std::int64_t free) const;
  void UpdatePaid();
  void UpdateTrial();

  const AdmissionSettings* settings_;
  Random random_;
  std::optional<Headroom> headroom_;
  TierPools pools_;
  std::array<TierState, 2> tiers_;
  std::unordered_set<EndpointId> open_to_trial_;
};

}  // namespace gcw

#endif  // COORDINATION_ADMISSION_TIER_ROOM_H_
