#ifndef COORDINATION_ADMISSION_H_
#define COORDINATION_ADMISSION_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <variant>
#include <vector>

#include "coordination/headroom.h"
#include "coordination/limits.h"
#include "coordination/request.h"
#include "core/core.h"

namespace gcw {

// Order in which engines serve; 0 first.
using EnginePriority = StrongNumber<struct EnginePriorityTag>;

// Dispatch the request now. Trial requests may go only to `endpoints`; for
// paid ones the list is empty and the router chooses.
struct Admit {
  RequestId request;
  EnginePriority priority;
  std::vector<EndpointId> endpoints;
};

// Waits at this node; an `Admit` or `Refuse` follows by its deadline.
struct Queued {
  RequestId request;
};

// The request's final answer: it was not run.
struct Refuse {
  RequestId request;
  Refusal refusal;
};

// Cancel this running trial request at its endpoint and end it towards its
// caller. `OnFinished` follows when that is done.
struct PreemptTrial {
  RequestId request;
};

using AdmissionAction = std::variant<Admit, Queued, Refuse, PreemptTrial>;

struct AdmissionSettings {
  // Requests that wait at this node.
  std::int64_t paid_queue_limit = 1024;
  std::int64_t trial_queue_limit = 128;
  // One contract's part of its queue.
  double contract_queue_share = 0.25;
  // A trial request waits no longer than this for room.
  Duration trial_wait = Duration::Millis(2000);
  // A paid request waits no longer than this for its contract's share.
  Duration share_wait = Duration::Millis(500);
  // Tokens that one turn of the round robin is worth.
  std::int64_t quantum_tokens = 512;
  // Paid requests that may wait in an endpoint's own queue, per endpoint.
  std::int64_t engine_backlog = 2;
  // Refused callers come back after between one and two of these.
  Duration retry_base = Duration::Millis(1000);
  // Reports of room older than this count as no room for trial work.
  Duration headroom_max_age = Duration::Millis(3000);
  // Share of an endpoint's batch that is left free for paid arrivals before
  // trial work may use the rest.
  double paid_reserve = 0.25;
  // KV cache above which no trial work is admitted.
  double trial_cache_limit = 0.8;
};

// Decides for each request of a caller whether, when and how this node runs
// it. Contracts are found by the digest of the caller's key.
class Admission {
 public:
  class Builder;

  Admission(Admission&&) noexcept;
  Admission& operator=(Admission&&) noexcept;
  ~Admission();

  // The contract set. A change takes effect at once for new requests and for
  // waiting ones; running ones finish.
  void OnContract(Time now, const Contract& contract);
  std::vector<AdmissionAction> OnContractWithdrawn(Time now,
                                                   const ContractId& contract);

  // The contract that a caller's key belongs to; none where it is unknown.
  const Contract* FindContract(const KeyDigest& digest) const;
  // A running estimate of what the request will use: prompt plus the learned
  // mean of generated tokens of its contract, at most the caller's maximum.
  TokenCount EstimateTokens(const RequestProfile& profile) const;

  // `profile.contract` is as found by `FindContract`; tier and rank are taken
  // from the contract.
  std::vector<AdmissionAction> Offer(Time now, const RequestProfile& profile);
  std::vector<AdmissionAction> OnCapacity(Time now,
                                          const ModelId& model,
                                          Headroom headroom);
  // An admitted request was sent to this endpoint.
  void OnDispatched(Time now,
                    const RequestId& request,
                    const EndpointId& endpoint);
  // An admitted request ended, was cancelled or not run.
  std::vector<AdmissionAction> OnFinished(Time now,
                                          const RequestId& request,
                                          TokenCount generated);
  // The caller gave up a waiting request. Its final answer is out already.
  void OnAbandoned(Time now, const RequestId& request);
  std::vector<AdmissionAction> Tick(Time now);

  std::int64_t queued(Tier tier) const;
  std::int64_t running(Tier tier) const;

 private:
  class Impl;
  explicit Admission(std::unique_ptr<Impl> impl);

  std::unique_ptr<Impl> impl_;
};

class Admission::Builder {
 public:
  Builder& SetSettings(AdmissionSettings settings);
  Builder& SetRandom(Random random);
  Builder& SetEventSink(EventSink sink);
  // This node's shares; must outlive the admission.
  Builder& SetLimits(Limits* limits);
  Admission Build() const;

 private:
  AdmissionSettings settings_;
  Random random_;
  EventSink sink_ = DiscardEvents();
  Limits* limits_ = nullptr;
};

}  // namespace gcw

#endif  // COORDINATION_ADMISSION_H_
