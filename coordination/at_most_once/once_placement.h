#ifndef COORDINATION_AT_MOST_ONCE_ONCE_PLACEMENT_H_
#define COORDINATION_AT_MOST_ONCE_ONCE_PLACEMENT_H_

#include <compare>
#include <optional>
#include <string>
#include <vector>

#include "state/state.h"

namespace gcw {

// A partition of the keys. All keys of a shard have one owner.
using OnceShardId = StrongNumber<struct OnceShardIdTag>;

// A node that may own shards. A leaving node is not a member.
struct OnceMember {
  NodeId node;
  Incarnation incarnation;

  friend auto operator<=>(const OnceMember&, const OnceMember&) = default;
};

// Returns `<contract>/<key>`, so that keys of different contracts never
// collide. Contract ids contain no '/'.
IdempotencyKey ScopedOnceKey(const ContractId& contract,
                             const IdempotencyKey& key);

OnceShardId OnceShardOf(const IdempotencyKey& key, std::int64_t shard_count);

// Returns the key of the shard's journal in the key-value service.
std::string OnceShardKey(OnceShardId shard);

// Returns the member that takes over a shard without an owner, by rendezvous
// hashing: if a member leaves, only its shards move. Returns nullopt if there
// are no members.
std::optional<OnceMember> PreferredOnceOwner(
    OnceShardId shard,
    const std::vector<OnceMember>& members);

}  // namespace gcw

#endif  // COORDINATION_AT_MOST_ONCE_ONCE_PLACEMENT_H_
