#ifndef COORDINATION_LIMIT_MESSAGES_H_
#define COORDINATION_LIMIT_MESSAGES_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "coordination/limit_vector.h"
#include "state/state.h"

namespace gcw {

// Contracts are spread over shards by their id's hash; each shard has one
// owner, the holder of the store role `limit/<shard>`.
using LimitShard = StrongNumber<struct LimitShardTag>;
// Counts the reports of one party, and names the grants that answer them.
using LimitSequence = StrongNumber<struct LimitSequenceTag>;

// One run of a node's process. A process that was replaced holds its grants
// until they expire, beside those of its successor.
struct LimitParty {
  NodeId node;
  Incarnation incarnation;

  friend auto operator<=>(const LimitParty&, const LimitParty&) = default;
};

// What a node, or a zone's nodes together, could use of a contract.
struct LimitDemand {
  ContractId contract;
  LimitVector demand;
  // Requests that run now; they can't be taken back.
  std::int64_t running = 0;
};

// Sent up each period: node to owner in small fleets, else node to zone relay
// to owner.
struct LimitReport {
  LimitParty sender;
  LimitShard shard;
  LimitSequence sequence;
  // Sender's clock. Echoed, so that the grant's life is counted from before
  // the receiver could have granted it, without comparing clocks.
  Time sent_at;
  // Newest grants that the sender works by; it never goes back to older ones.
  LimitSequence applied;
  // Receiver's clock in the newest grants that the sender has seen. Cessions
  // are counted from it. Absent on first contact.
  std::optional<Time> echoed;
  // Nodes that use no floor in this shard for `ceded_for` after `echoed`.
  std::vector<NodeId> ceding;
  Duration ceded_for;
  // Contracts with demand only.
  std::vector<LimitDemand> demands;
};

struct LimitGrant {
  ContractId contract;
  // The receiver may use this much.
  LimitVector amount;
};

// The answer to a report. Replaces all earlier grants of the shard; a contract
// that is not listed has none.
struct LimitGrants {
  LimitShard shard;
  // Of the report that is answered.
  LimitSequence sequence;
  // To which run of the receiver's process they were given.
  Incarnation receiver;
  // Of the owner's role. Grants with a lower one than one already seen are
  // stale.
  FencingToken fence;
  // From the report: `sent_at`.
  Time report_sent_at;
  // Sender's clock, to be echoed.
  Time granted_at;
  // Counted from `report_sent_at` on the receiver's clock.
  Duration lifetime;
  std::vector<LimitGrant> grants;
};

// Everything that one node tells another in one period.
struct LimitBatch {
  std::vector<LimitReport> reports;
  std::vector<LimitGrants> grants;
};

}  // namespace gcw

#endif  // COORDINATION_LIMIT_MESSAGES_H_
