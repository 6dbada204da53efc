#ifndef COORDINATION_LIMITS_LIMIT_MESSAGES_H_
#define COORDINATION_LIMITS_LIMIT_MESSAGES_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "coordination/limits/limit_vector.h"
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

// All amounts below are fractions of the contract's limits, so that a changed
// contract takes effect at each node that knows it and the fractions still sum
// to one at most. A codec must not round them up.

// What a node, or the nodes behind a relay together, could use of a contract.
struct LimitDemand {
  ContractId contract;
  LimitVector demand;
  // Part of the concurrency that is in use; it can't be taken back.
  double running = 0;
};

// A granter's clock and process, to be echoed to it.
struct LimitEcho {
  Incarnation granter;
  Time granted_at;

  friend bool operator==(const LimitEcho&, const LimitEcho&) = default;
};

enum class LimitReporter { kNode, kRelay };

// Sent up each period: node to owner in small fleets, else node to relay to
// owner.
struct LimitReport {
  LimitParty sender;
  LimitReporter kind = LimitReporter::kNode;
  LimitShard shard;
  LimitSequence sequence;
  // Sender's clock. Echoed, so that a grant's life is counted from before the
  // receiver could have given it, without comparing clocks.
  Time sent_at;
  // Newest grants that the sender works by; it never goes back to older ones.
  LimitSequence applied;
  // From the newest grants that the sender got of this receiver. Cessions are
  // counted from it. Absent on first contact.
  std::optional<LimitEcho> echo;
  // Nodes that use no floor in this shard for `ceded_for` after the echo.
  std::vector<NodeId> ceding;
  Duration ceded_for;
  // Nodes that the demand comes from.
  std::int64_t weight = 1;
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
  LimitReporter receiver_kind = LimitReporter::kNode;
  // The run of the receiver's process that it is for.
  Incarnation receiver;
  // Of the owner's role. Grants with a lower one than one already seen are
  // stale.
  FencingToken fence;
  LimitEcho echo;
  // `sent_at` of the report.
  Time report_sent_at;
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

#endif  // COORDINATION_LIMITS_LIMIT_MESSAGES_H_
