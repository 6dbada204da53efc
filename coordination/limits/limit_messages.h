#ifndef COORDINATION_LIMITS_LIMIT_MESSAGES_H_
#define COORDINATION_LIMITS_LIMIT_MESSAGES_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "coordination/limits/limit_vector.h"
#include "state/state.h"

namespace gcw {

// Contracts are spread over shards by the hash of their id. Each shard has one
// owner, the node that holds the store role `limit/<shard>`.
using LimitShard = StrongNumber<struct LimitShardTag>;
// Numbers the reports of one party and identifies the grants that answer them.
using LimitSequence = StrongNumber<struct LimitSequenceTag>;

// One run of a node's process. After a restart the grants of the earlier run
// still count until they expire, in addition to those of the new run.
struct LimitParty {
  NodeId node;
  Incarnation incarnation;

  friend auto operator<=>(const LimitParty&, const LimitParty&) = default;
};

// All amounts below are fractions of the contract's limits: a changed contract
// takes effect at each node that knows it, and the fractions still sum to at
// most one. A codec must not round them up.

// Demand for a contract at one node, or at all nodes behind one relay.
struct LimitDemand {
  ContractId contract;
  LimitVector demand;
  // Fraction of the concurrency used by running requests, which cannot be
  // revoked.
  double running = 0;
};

// A granter's clock and process run, which the receiver of its grants returns
// in the next report.
struct LimitEcho {
  Incarnation granter;
  Time granted_at;

  friend bool operator==(const LimitEcho&, const LimitEcho&) = default;
};

enum class LimitReporter { kNode, kRelay };

// Sent once per period: by a node to the owner in small fleets; in large ones
// by a node to its relay, and by a relay to the owner.
struct LimitReport {
  LimitParty sender;
  LimitReporter kind = LimitReporter::kNode;
  LimitShard shard;
  LimitSequence sequence;
  // Sender's clock. The grants return it, so that the sender counts their
  // lifetime from a time before they were given, without comparing clocks.
  Time sent_at;
  // Newest grants that the sender applied; it never goes back to older ones.
  LimitSequence applied_sequence;
  // Copied from the newest grants of this receiver; cessions are counted from
  // its time. Unset on first contact.
  std::optional<LimitEcho> echo;
  // Nodes that use no floor in this shard for `cession_duration` after the
  // echo.
  std::vector<NodeId> ceding_nodes;
  Duration cession_duration;
  // Number of nodes that the demand comes from.
  std::int64_t weight = 1;
  // Lists only contracts with demand.
  std::vector<LimitDemand> demands;
};

struct LimitGrant {
  ContractId contract;
  // Upper bound of what the receiver may use.
  LimitVector amount;
};

// The answer to a report. It replaces all earlier grants of the shard; a
// contract that is not listed has no grant.
struct LimitGrants {
  LimitShard shard;
  // Sequence of the report that is answered.
  LimitSequence sequence;
  LimitReporter receiver_kind = LimitReporter::kNode;
  // The run of the receiver's process that the grants are for.
  Incarnation receiver;
  // Fencing token of the owner's role. Grants are stale if their token is lower
  // than one already seen.
  FencingToken fence;
  LimitEcho echo;
  // `sent_at` of the report that is answered.
  Time report_sent_at;
  // Counted from `report_sent_at` on the receiver's clock.
  Duration lifetime;
  std::vector<LimitGrant> grants;
};

// The limit messages that one node sends to another at one time.
struct LimitBatch {
  std::vector<LimitReport> reports;
  std::vector<LimitGrants> grants;
};

}  // namespace gcw

#endif  // COORDINATION_LIMITS_LIMIT_MESSAGES_H_
