#ifndef COORDINATION_LIMITS_LIMIT_SETTINGS_H_
#define COORDINATION_LIMITS_LIMIT_SETTINGS_H_

#include <cstdint>

#include "coordination/limits/limit_messages.h"

namespace gcw {

// The same on all nodes.
struct LimitSettings {
  // Number of owners that the contracts are spread over.
  std::int64_t shards = 16;
  // Between two reports: this much for each node, within the two bounds.
  Duration period_per_node = Duration::Millis(6);
  Duration period_min = Duration::Millis(400);
  Duration period_max = Duration::Millis(2500);
  // Between two reports to the same receiver when a contract without a share
  // has a request waiting; twice as long after each that was not answered.
  Duration urgent_interval = Duration::Millis(100);
  // A grant lives for this many periods.
  std::int64_t grant_periods = 4;
  // A node cedes its floor for this many periods. Grants that rely on it must
  // end earlier: a grant's life, the report's age and one lost report.
  std::int64_t cession_periods = 7;
  // The same for a node behind a relay, which passes the cession on.
  std::int64_t relayed_cession_periods = 9;
  // Without a grant a node may use limit / nodes. The fleet is never counted
  // smaller than this, so that a node that joins unseen finds its floor free.
  std::int64_t floor_nodes = 1;
  // How long a node that left the view keeps its floor reserved. Longer than
  // an outage during which it may still serve callers on its floor.
  Duration floor_memory = Duration::Seconds(7200);
  // With more nodes than this, nodes report through relays of their zone.
  std::int64_t relay_above_nodes = 32;
  // Most nodes that one relay serves.
  std::int64_t relay_group_nodes = 24;
  // A contract without requests for this long is no longer reported. Its next
  // request waits until the owner has answered.
  Duration idle_after = Duration::Seconds(60);
  // Token buckets hold this much of their rate, and one request at least.
  Duration burst = Duration::Millis(2000);

  Duration Period(std::int64_t nodes) const;
  Duration UrgentInterval(std::int64_t nodes, std::int64_t unanswered) const;
  Duration GrantLifetime(std::int64_t nodes) const;
  // What a node promises to the receiver of its reports.
  Duration CessionLifetime(std::int64_t nodes) const;
  // What a relay promises to the owner.
  Duration RelayCessionLifetime(std::int64_t nodes) const;
  bool HasRelays(std::int64_t nodes) const { return nodes > relay_above_nodes; }
};

// The shard that a contract's limits are kept in.
LimitShard ShardOf(const ContractId& contract, std::int64_t shards);

}  // namespace gcw

#endif  // COORDINATION_LIMITS_LIMIT_SETTINGS_H_
