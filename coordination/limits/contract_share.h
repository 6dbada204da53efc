#ifndef COORDINATION_LIMITS_CONTRACT_SHARE_H_
#define COORDINATION_LIMITS_CONTRACT_SHARE_H_

#include <cstdint>

#include "coordination/limits/demand_meter.h"
#include "coordination/limits/limit_messages.h"
#include "coordination/limits/share_decision.h"
#include "coordination/limits/token_bucket.h"

namespace gcw {

// This node's share, use and demand of one contract, in absolute amounts
// (requests/s, tokens/s and concurrent requests).
class ContractShare {
 public:
  explicit ContractShare(LimitVector limit) : limit_(limit) {}

  void SetLimit(Time now, const LimitVector& limit, Duration burst_duration);
  // `share` is an absolute amount, not a fraction of the limit.
  void SetShare(Time now, const LimitVector& share, Duration burst_duration);

  ShareDecision TryAcquire(Time now, double estimate, AcquireAttempt attempt);
  void Release(double estimate, double actual);

  // Returns this node's demand as fractions of the limit.
  LimitDemand Measure(Time now, const ContractId& contract);
  // True if there was no request for `idle_timeout`, none runs and the token
  // bucket is not in debt.
  bool IsIdle(Time now, Duration idle_timeout);
  // True from a request that found a zero share until there is a share.
  bool is_starved() const { return is_starved_; }

  const LimitVector& limit() const { return limit_; }
  const LimitVector& share() const { return share_; }
  std::int64_t running() const { return running_; }

 private:
  ShareDecision Decide(Time now, double estimate);
  void SetRates(Time now, Duration burst_duration);

  LimitVector limit_;
  LimitVector share_;
  TokenBucket requests_;
  TokenBucket tokens_;
  DemandMeter request_demand_;
  DemandMeter token_demand_;
  std::int64_t running_ = 0;
  // First attempts refused for lack of concurrency since the last report.
  std::int64_t concurrency_refusals_ = 0;
  bool needs_first_fill_ = true;
  bool is_starved_ = false;
  Time last_attempt_;
  double last_estimate_ = 0;
};

}  // namespace gcw

#endif  // COORDINATION_LIMITS_CONTRACT_SHARE_H_
