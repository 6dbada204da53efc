#include "coordination/admission/tier_room.h"

#include <algorithm>
#include <cmath>

namespace gcw {
namespace {

std::int64_t PaidRequestsAt(const EndpointHeadroom& endpoint) {
  return endpoint.paid.value_or(endpoint.running + endpoint.queued);
}

}  // namespace

TierRoom::TierRoom(const AdmissionSettings& settings, Random random)
    : settings_(&settings), random_(std::move(random)), pools_(settings) {}

void TierRoom::DropReported(TierState& state, Time taken_at) {
  while (!state.changes.empty() && state.changes.front().when <= taken_at) {
    state.net_change -= state.changes.front().requests;
    state.changes.pop_front();
  }
}

void TierRoom::RecordChange(TierState& state, Time now, std::int64_t requests) {
  state.changes.push_back({now, requests});
  state.net_change += requests;
}

void TierRoom::Update(Time now, Headroom headroom) {
  for (TierState& state : tiers_) {
    DropReported(state, headroom.taken_at);
  }
  const std::int64_t unreported =
      std::max<std::int64_t>(0, StateOf(Tier::kPaid).net_change);
  pools_.Update(now, std::move(headroom.endpoints), unreported);
  headroom_ = std::move(headroom);
  UpdatePaid();
  UpdateTrial();
}

// The fraction of a request is rounded at random. If each node rounded its part
// down, nobody would use the last free slots.
std::int64_t TierRoom::OwnPartOf(std::int64_t free) const {
  const auto nodes =
      static_cast<double>(std::max<std::int64_t>(1, headroom_->sharing_nodes));
  const double part = static_cast<double>(free) *
                      std::min(1.0, settings_->overcommit_factor / nodes);
  const double whole = std::floor(part);
  return static_cast<std::int64_t>(whole) +
         (DrawUnit(random_) < part - whole ? 1 : 0);
}

// Paid work may use every endpoint, because trial work is preempted for it.
void TierRoom::UpdatePaid() {
  TierState& state = StateOf(Tier::kPaid);
  std::int64_t free = 0;
  for (const EndpointHeadroom& endpoint : pools_.endpoints()) {
    free += endpoint.batch_limit + settings_->engine_queue_limit -
            PaidRequestsAt(endpoint);
  }
  state.own_part = OwnPartOf(free);
  std::vector<EndpointId> chosen;
  // The first request of an idle model needs somewhere to go.
  const std::size_t count = std::max<std::size_t>(1, pools_.paid_count());
  for (std::size_t i = 0; i < std::min(count, pools_.endpoints().size()); ++i) {
    chosen.push_back(pools_.endpoints()[i].endpoint);
  }
  state.endpoints =
      std::make_shared<const std::vector<EndpointId>>(std::move(chosen));
}

void TierRoom::UpdateTrial() {
  TierState& state = StateOf(Tier::kTrial);
  std::int64_t free = 0;
  std::vector<EndpointId> chosen;
  open_to_trial_.clear();
  const auto& endpoints = pools_.endpoints();
  for (std::size_t i = pools_.trial_begin(); i < endpoints.size(); ++i) {
    const EndpointHeadroom& endpoint = endpoints[i];
    open_to_trial_.insert(endpoint.endpoint);
    if (endpoint.cache_share > settings_->trial_cache_limit) {
      continue;
    }
    // Negative while the endpoint has more requests than its batch holds.
    free += endpoint.batch_limit - endpoint.running - endpoint.queued;
    chosen.push_back(endpoint.endpoint);
  }
  state.endpoints =
      std::make_shared<const std::vector<EndpointId>>(std::move(chosen));
  state.own_part = OwnPartOf(free);
}

bool TierRoom::HasEndpoints() const {
  return !pools_.endpoints().empty();
}

bool TierRoom::HasRoom(Time now, Tier tier) const {
  const TierState& state = StateOf(tier);
  if (tier == Tier::kTrial &&
      now > headroom_->taken_at + settings_->max_headroom_age) {
    return false;
  }
  return !state.endpoints->empty() && state.own_part - state.net_change > 0;
}

const EndpointList& TierRoom::endpoints(Tier tier) const {
  return StateOf(tier).endpoints;
}

bool TierRoom::IsOpenToTrial(const EndpointId& endpoint) const {
  return open_to_trial_.contains(endpoint);
}

void TierRoom::OnAdmitted(Time now, Tier tier) {
  RecordChange(StateOf(tier), now, 1);
}

// A trial request that ends outside the trial endpoints leaves no room in them.
void TierRoom::OnFinished(Time now, Tier tier, const EndpointId& endpoint) {
  if (tier == Tier::kPaid || IsOpenToTrial(endpoint)) {
    RecordChange(StateOf(tier), now, -1);
  }
}

}  // namespace gcw
