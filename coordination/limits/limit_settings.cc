#include "coordination/limits/limit_settings.h"

#include <algorithm>

#include "coordination/stable_hash.h"

namespace gcw {
namespace {

constexpr std::int64_t kMostDoublings = 8;

}  // namespace
Duration LimitSettings::Period(std::int64_t nodes) const {
  return std::clamp(period_per_node * nodes, period_min, period_max);
}

// Without the backoff, all nodes that wait for a lost owner would send ten
// reports per second.
Duration LimitSettings::UrgentInterval(std::int64_t nodes,
                                       std::int64_t unanswered) const {
  const std::int64_t factor = std::int64_t{1}
                              << std::min(unanswered, kMostDoublings);
  return std::min(urgent_interval * factor, Period(nodes));
}

Duration LimitSettings::GrantLifetime(std::int64_t nodes) const {
  return Period(nodes) * grant_periods;
}

Duration LimitSettings::CessionLifetime(std::int64_t nodes) const {
  const std::int64_t periods =
      HasRelays(nodes) ? relayed_cession_periods : cession_periods;
  return Period(nodes) * periods;
}

Duration LimitSettings::RelayCessionLifetime(std::int64_t nodes) const {
  return Period(nodes) * cession_periods;
}

LimitShard ShardOf(const ContractId& contract, std::int64_t shards) {
  return LimitShard(static_cast<std::int64_t>(
      StableHash(contract.value()) % static_cast<std::uint64_t>(shards)));
}

}  // namespace gcw
