#ifndef COORDINATION_LIMITS_LIMIT_SETTINGS_H_
#define COORDINATION_LIMITS_LIMIT_SETTINGS_H_

#include <cstdint>

#include "coordination/limits/limit_messages.h"

namespace gcw {

// Settings of the contract limits; they must be equal on all nodes.
struct LimitSettings {
  // Number of shards that the contracts are spread over; each has one owner.
  std::int64_t shards = 16;
  // The period between two reports grows by this much with each live node,
  // within the two bounds below.
  Duration period_per_node = Duration::Millis(6);
  Duration min_period = Duration::Millis(400);
  Duration max_period = Duration::Millis(2500);
  // Interval between two reports to the same receiver while a request waits for
  // a contract without a share. It doubles after each unanswered report.
  Duration urgent_report_interval = Duration::Millis(100);
  // Lifetime of a grant in periods.
  std::int64_t grant_periods = 4;
  // Periods for which a node cedes its floor. Grants that rely on the cession
  // must end before it, so it covers a grant's lifetime, the report's age and
  // one lost report.
  std::int64_t cession_periods = 7;
  // The same for a node behind a relay, which passes the cession on to the
  // owner.
  std::int64_t relayed_cession_periods = 9;
  // Without a grant a node may use its floor, limit / nodes. The number of
  // nodes is taken to be at least this, so that the floor of a node that joins
  // unnoticed is free.
  std::int64_t min_floor_nodes = 1;
  // How long the floor of a node that left the view stays reserved. It exceeds
  // any outage during which the node may still serve callers on its floor.
  Duration floor_reservation_ttl = Duration::Seconds(7200);
  // In fleets of more nodes than this, nodes report through relays of their
  // zone.
  std::int64_t max_direct_nodes = 32;
  // Maximum number of nodes that one relay serves.
  std::int64_t max_nodes_per_relay = 24;
  // A contract without requests for this long is no longer reported; its next
  // request waits until the owner has answered.
  Duration idle_timeout = Duration::Seconds(60);
  // Token buckets hold their rate times this duration, and at least one
  // request.
  Duration burst_duration = Duration::Millis(2000);

  Duration ReportPeriod(std::int64_t nodes) const;
  Duration UrgentReportInterval(std::int64_t nodes,
                                std::int64_t unanswered_reports) const;
  Duration GrantLifetime(std::int64_t nodes) const;
  // Duration of a node's cession to the receiver of its reports.
  Duration CessionLifetime(std::int64_t nodes) const;
  // Duration of a cession that a relay passes on to the owner.
  Duration RelayCessionLifetime(std::int64_t nodes) const;
  bool HasRelays(std::int64_t nodes) const { return nodes > max_direct_nodes; }
};

// The shard whose owner grants the contract's limits.
LimitShard ShardOf(const ContractId& contract, std::int64_t shards);

}  // namespace gcw

#endif  // COORDINATION_LIMITS_LIMIT_SETTINGS_H_
