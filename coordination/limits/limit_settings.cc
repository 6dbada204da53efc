#include "coordination/limits/limit_settings.h"

#include <algorithm>

#include "coordination/stable_hash.h"

namespace gcw {
namespace {

constexpr std::int64_t kMaxBackoffDoublings = 8;

}  // namespace
Duration LimitSettings::ReportPeriod(std::int64_t nodes) const {
  return std::clamp(period_per_node * nodes, min_period, max_period);
}

// Without the backoff, all nodes that wait for a lost owner would send ten
// reports per second.
Duration LimitSettings::UrgentReportInterval(
    std::int64_t nodes,
    std::int64_t unanswered_reports) const {
  const std::int64_t factor =
      std::int64_t{1} << std::min(unanswered_reports, kMaxBackoffDoublings);
  return std::min(urgent_report_interval * factor, ReportPeriod(nodes));
}

Duration LimitSettings::GrantLifetime(std::int64_t nodes) const {
  return ReportPeriod(nodes) * grant_periods;
}

Duration LimitSettings::CessionLifetime(std::int64_t nodes) const {
  const std::int64_t periods =
      HasRelays(nodes) ? relayed_cession_periods : cession_periods;
  return ReportPeriod(nodes) * periods;
}

Duration LimitSettings::RelayCessionLifetime(std::int64_t nodes) const {
  return ReportPeriod(nodes) * cession_periods;
}

LimitShard ShardOf(const ContractId& contract, std::int64_t shards) {
  return LimitShard(static_cast<std::int64_t>(
      StableHash(contract.value()) % static_cast<std::uint64_t>(shards)));
}

}  // namespace gcw
