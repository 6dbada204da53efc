#ifndef COORDINATION_LIMITS_LIMIT_CLIENT_H_
#define COORDINATION_LIMITS_LIMIT_CLIENT_H_

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

#include "coordination/limits/limit_messages.h"

namespace gcw {

// One party's side of the exchange with the granter of a shard: makes the
// reports and holds the newest grants.
class LimitClient {
 public:
  LimitClient(LimitParty self, LimitReporter kind, LimitShard shard);

  // Sets the receiver of reports; empty if none is known. The echo is reset for
  // a new receiver, because its clock differs.
  void SetUpstream(NodeId upstream);
  const NodeId& upstream() const { return upstream_; }

  // Returns the next report without demands, cessions and weight.
  LimitReport StartReport(Time now);
  // Returns false for grants that are not for this process run, not from the
  // current upstream, stale or already expired.
  bool OnGrants(Time now, const NodeId& from, const LimitGrants& grants);

  // Currently granted fraction of the contract's limits.
  LimitVector GrantedFraction(Time now, const ContractId& contract) const;
  // Expiry of the newest grants.
  Time granted_until() const { return granted_until_; }
  // When the newest grants arrived; unset before the first from this upstream.
  std::optional<Time> answered_at() const { return answered_at_; }
  std::optional<Time> reported_at() const { return reported_at_; }
  // Number of reports sent since the newest grants arrived.
  std::int64_t unanswered_reports() const { return unanswered_reports_; }
  LimitShard shard() const { return shard_; }
  LimitSequence applied() const { return applied_; }
  // Fencing token of the newest grants.
  FencingToken fence() const { return fence_; }

 private:
  LimitParty self_;
  LimitReporter kind_;
  LimitShard shard_;
  NodeId upstream_;
  LimitSequence last_sequence_;
  LimitSequence applied_;
  FencingToken fence_;
  std::optional<LimitEcho> echo_;
  std::optional<Time> answered_at_;
  std::optional<Time> reported_at_;
  std::int64_t unanswered_reports_ = 0;
  Time granted_until_;
  std::unordered_map<ContractId, LimitVector> grants_;
};

}  // namespace gcw

#endif  // COORDINATION_LIMITS_LIMIT_CLIENT_H_
