#ifndef COORDINATION_AT_MOST_ONCE_ONCE_PLACEMENT_H_
#define COORDINATION_AT_MOST_ONCE_ONCE_PLACEMENT_H_

#include <compare>
#include <optional>
#include <string>
#include <vector>

#include "state/state.h"

namespace gcw {

// One part of the keys; all keys of a shard have one owner.
using OnceShardId = StrongNumber<struct OnceShardIdTag>;

// A node that may own shards. A leaving node is none.
struct OnceMember {
  NodeId node;
  Incarnation incarnation;

  friend auto operator<=>(const OnceMember&, const OnceMember&) = default;
};

// The key as the once modules use it: `<contract>/<key>`, so that callers of
// different contracts never meet. Contract ids hold no '/'.
IdempotencyKey ScopedOnceKey(const ContractId& contract,
                             const IdempotencyKey& key);

OnceShardId OnceShardOf(const IdempotencyKey& key, std::int64_t shard_count);

// Key of the shard's journal in the key-value service.
std::string OnceShardKey(OnceShardId shard);

// The member that takes an ownerless shard, by rendezvous hashing: when a
// member goes, only its shards move. Absent where there is no member.
std::optional<OnceMember> PreferredOnceOwner(
    OnceShardId shard,
    const std::vector<OnceMember>& members);

}  // namespace gcw

#endif  // COORDINATION_AT_MOST_ONCE_ONCE_PLACEMENT_H_
