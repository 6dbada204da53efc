#include "coordination/limits/contract_share.h"

#include <algorithm>

namespace gcw {
namespace {

constexpr double kMillisPerSecond = 1000.0;
constexpr double kRoundingTolerance = 1e-6;
constexpr double kMinRequestRate = 0.02;

double FractionOf(double amount, double limit) {
  return limit > 0 ? amount / limit : 0;
}

}  // namespace

void ContractShare::SetLimit(Time now,
                             const LimitVector& limit,
                             Duration burst_duration) {
  limit_ = limit;
  SetRates(now, burst_duration);
}

void ContractShare::SetShare(Time now,
                             const LimitVector& share,
                             Duration burst_duration) {
  share_ = share;
  SetRates(now, burst_duration);
  if (!share_.IsZero()) {
    is_starved_ = false;
  }
}

void ContractShare::SetRates(Time now, Duration burst_duration) {
  const double seconds =
      static_cast<double>(burst_duration.millis()) / kMillisPerSecond;
  const double requests = share_[LimitResource::kRequests];
  const double tokens = share_[LimitResource::kTokens];
  requests_.SetRate(now, requests, std::max(1.0, requests * seconds));
  tokens_.SetRate(now, tokens, std::max(1.0, tokens * seconds));
  if (!needs_first_fill_ || share_.IsZero()) {
    return;
  }
  // All nodes together start with one burst of the whole limit. If each node
  // started with one request, a contract of one request per second would get as
  // many at once as there are nodes.
  const double limit = limit_[LimitResource::kRequests];
  requests_.SetLevel(std::max(1.0, limit * seconds) *
                     FractionOf(requests, limit));
  tokens_.SetLevel(tokens * seconds);
  needs_first_fill_ = false;
}

ShareDecision ContractShare::TryAcquire(Time now,
                                        double estimate,
                                        AcquireAttempt attempt) {
  if (attempt == AcquireAttempt::kFirst) {
    request_demand_.Add(1);
    token_demand_.Add(estimate);
  }
  last_attempt_ = now;
  last_estimate_ = estimate;
  const ShareDecision decision = Decide(now, estimate);
  if (decision.outcome == ShareOutcome::kGranted) {
    requests_.Take(1);
    tokens_.Take(estimate);
    ++running_;
  }
  if (decision.outcome == ShareOutcome::kConcurrency &&
      attempt == AcquireAttempt::kFirst) {
    ++concurrency_refusals_;
  }
  is_starved_ |= decision.outcome == ShareOutcome::kPending;
  return decision;
}

ShareDecision ContractShare::Decide(Time now, double estimate) {
  if (share_.IsZero()) {
    return {ShareOutcome::kPending, {}};
  }
  if (static_cast<double>(running_ + 1) >
      share_[LimitResource::kConcurrency] + kRoundingTolerance) {
    return {ShareOutcome::kConcurrency, {}};
  }
  if (!requests_.CanTake(now, 1)) {
    return {ShareOutcome::kRequestRate, requests_.WaitFor(now, 1)};
  }
  if (!tokens_.CanTake(now, estimate)) {
    return {ShareOutcome::kTokenRate, tokens_.WaitFor(now, estimate)};
  }
  return {ShareOutcome::kGranted, {}};
}

void ContractShare::Release(double estimate, double actual) {
  tokens_.Return(estimate - actual);
  running_ = std::max<std::int64_t>(0, running_ - 1);
}

LimitDemand ContractShare::Measure(Time now, const ContractId& contract) {
  // A contract in use always reports a minimum demand, so that its next request
  // finds a share however rare requests are. The minimum is small so as not to
  // reduce the shares of nodes with real demand.
  const double requests =
      std::max(kMinRequestRate, request_demand_.Measure(now));
  const double tokens =
      std::max(kMinRequestRate * last_estimate_, token_demand_.Measure(now));
  // One more than is running, so that the next request finds room.
  const auto concurrent =
      static_cast<double>(running_ + 1 + concurrency_refusals_);
  concurrency_refusals_ = 0;
  const double concurrency = limit_[LimitResource::kConcurrency];
  return {.contract = contract,
          .demand = {FractionOf(requests, limit_[LimitResource::kRequests]),
                     FractionOf(tokens, limit_[LimitResource::kTokens]),
                     FractionOf(concurrent, concurrency)},
          .running = FractionOf(static_cast<double>(running_), concurrency)};
}

bool ContractShare::IsIdle(Time now, Duration idle_timeout) {
  return running_ == 0 && last_attempt_ + idle_timeout < now &&
         tokens_.CanTake(now, 0);
}

}  // namespace gcw
