#ifndef COORDINATION_LIMITS_LIMIT_CLIENT_H_
#define COORDINATION_LIMITS_LIMIT_CLIENT_H_

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

#include "coordination/limits/limit_messages.h"

namespace gcw {

// One party's dealings with whoever grants a shard: writes its reports and
// holds the newest grants.
class LimitClient {
 public:
  LimitClient(LimitParty self, LimitReporter kind, LimitShard shard);

  // Where reports go; empty where nobody is known. A new receiver has another
  // clock, so that the echo starts anew.
  void SetUpstream(NodeId upstream);
  const NodeId& upstream() const { return upstream_; }

  // The next report, without demands, cessions and weight.
  LimitReport StartReport(Time now);
  // False for grants that are not for this process, not from the receiver
  // that is asked now, stale or already expired.
  bool OnGrants(Time now, const NodeId& from, const LimitGrants& grants);

  // Fraction of the contract's limits that is granted now.
  LimitVector Granted(Time now, const ContractId& contract) const;
  // The newest grants live until then.
  Time granted_until() const { return granted_until_; }
  // When the newest grants arrived; absent before the first of this receiver.
  std::optional<Time> answered_at() const { return answered_at_; }
  std::optional<Time> reported_at() const { return reported_at_; }
  // Reports since the newest grants arrived.
  std::int64_t unanswered() const { return unanswered_; }
  LimitShard shard() const { return shard_; }
  LimitSequence applied() const { return applied_; }
  // Of the newest grants.
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
  std::int64_t unanswered_ = 0;
  Time granted_until_;
  std::unordered_map<ContractId, LimitVector> grants_;
};

}  // namespace gcw

#endif  // COORDINATION_LIMITS_LIMIT_CLIENT_H_
