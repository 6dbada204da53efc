#ifndef COORDINATION_LIMITS_CONTRACT_SHARE_H_
#define COORDINATION_LIMITS_CONTRACT_SHARE_H_

#include <cstdint>

#include "coordination/limits/demand_meter.h"
#include "coordination/limits/limit_messages.h"
#include "coordination/limits/share_decision.h"
#include "coordination/limits/token_bucket.h"

namespace gcw {

// What this node may use of one contract, what it uses, and what it was asked
// for. Amounts are in the contract's own units.
class ContractShare {
 public:
  explicit ContractShare(LimitVector limit) : limit_(limit) {}

  void SetLimit(Time now, const LimitVector& limit, Duration burst);
  // `share` in the contract's units.
  void SetShare(Time now, const LimitVector& share, Duration burst);

  ShareDecision TryAcquire(Time now, double estimate, AcquireAttempt attempt);
  void Release(double estimate, double actual);

  // What this node could use, as fractions of the limit.
  LimitDemand Measure(Time now, const ContractId& contract);
  // No request for `idle_after`, none runs, and no tokens are owed.
  bool IsIdle(Time now, Duration idle_after);
  // A request waits for a share, since there is none at all.
  bool is_starved() const { return is_starved_; }

  const LimitVector& limit() const { return limit_; }
  const LimitVector& share() const { return share_; }
  std::int64_t running() const { return running_; }

 private:
  ShareDecision Decide(Time now, double estimate);
  void SetRates(Time now, Duration burst);

  LimitVector limit_;
  LimitVector share_;
  TokenBucket requests_;
  TokenBucket tokens_;
  DemandMeter request_demand_;
  DemandMeter token_demand_;
  std::int64_t running_ = 0;
  // Refused for want of concurrency since the last report.
  std::int64_t turned_away_ = 0;
  bool is_fresh_ = true;
  bool is_starved_ = false;
  Time last_attempt_;
  double last_estimate_ = 0;
};

}  // namespace gcw

#endif  // COORDINATION_LIMITS_CONTRACT_SHARE_H_
