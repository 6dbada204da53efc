#include "coordination/gateway/fleet_share.h"

#include <algorithm>

namespace gcw {
namespace {

constexpr std::int64_t kMillisPerSecond = 1000;

}  // namespace

FleetShare::FleetShare(const FleetShareSettings& settings)
    : settings_(settings) {}

void FleetShare::Update(Time now,
                        std::size_t nodes,
                        bool is_listed,
                        std::optional<Time> complete_at) {
  complete_at_ = complete_at;
  const bool is_current =
      complete_at && now - *complete_at <= settings_.max_view_age;
  if (!is_listed || !is_current) {
    listed_since_.reset();
  } else if (!listed_since_) {
    listed_since_ = now;
  }
  const std::int64_t second = now.millis() / kMillisPerSecond;
  if (counts_.empty() || counts_.back().first != second) {
    counts_.emplace_back(second, nodes);
  }
  counts_.back().second = std::max(counts_.back().second, nodes);
  const std::int64_t oldest =
      (now - settings_.count_memory).millis() / kMillisPerSecond;
  while (counts_.front().first < oldest) {
    counts_.pop_front();
  }
}

std::optional<std::size_t> FleetShare::Parts(Time now) const {
  const bool has_share = listed_since_ &&
                         now - *listed_since_ >= settings_.settle_time &&
                         now - *complete_at_ <= settings_.max_view_age;
  return has_share ? std::optional(counted_nodes()) : std::nullopt;
}

std::size_t FleetShare::counted_nodes() const {
  std::size_t nodes = 1;
  for (const auto& [second, count] : counts_) {
    nodes = std::max(nodes, count);
  }
  return nodes;
}

}  // namespace gcw
