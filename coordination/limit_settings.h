#ifndef COORDINATION_LIMIT_SETTINGS_H_
#define COORDINATION_LIMIT_SETTINGS_H_

#include <algorithm>
#include <cstdint>

#include "coordination/limit_messages.h"

namespace gcw {

// The same on all nodes.
struct LimitSettings {
  // Number of owners that the contracts are spread over.
  std::int64_t shards = 4;
  // Between two reports: this much for each node, within the two bounds.
  Duration period_per_node = Duration::Millis(5);
  Duration period_min = Duration::Millis(250);
  Duration period_max = Duration::Millis(2000);
  // A grant lives for this many periods.
  std::int64_t grant_periods = 4;
  // A node gives up its floor for this many periods.
  std::int64_t cession_periods = 12;
  // Without a grant a node may use limit / nodes. The fleet is never counted
  // smaller than this, so that a node that joins unseen finds its floor free.
  std::int64_t floor_nodes = 8;
  // How long a node that left the view keeps its floor reserved. Longer than
  // an outage during which it may still serve callers on its floor.
  Duration floor_memory = Duration::Seconds(7200);
  // With more nodes than this, those of a zone report through a relay.
  std::int64_t relay_above_nodes = 32;
  // A contract without requests for this long is no longer reported.
  Duration idle_after = Duration::Seconds(10);
  // Token buckets hold this much of their rate, and one request at least.
  Duration burst = Duration::Millis(1000);

  Duration Period(std::int64_t nodes) const {
    return std::clamp(period_per_node * nodes, period_min, period_max);
  }
  Duration GrantLifetime(std::int64_t nodes) const {
    return Period(nodes) * grant_periods;
  }
  Duration CessionLifetime(std::int64_t nodes) const {
    return Period(nodes) * cession_periods;
  }
};

// The shard that a contract's limits are kept in.
LimitShard ShardOf(const ContractId& contract, std::int64_t shards);

}  // namespace gcw

#endif  // COORDINATION_LIMIT_SETTINGS_H_
