#ifndef COORDINATION_ADMISSION_ADMISSION_H_
#define COORDINATION_ADMISSION_ADMISSION_H_

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <unordered_map>
#include <variant>
#include <vector>

#include "coordination/admission/admission_queue.h"
#include "coordination/admission/admission_settings.h"
#include "coordination/admission/headroom.h"
#include "coordination/admission/tier_room.h"
#include "coordination/admission/token_estimator.h"
#include "coordination/configuration/contract_directory.h"
#include "coordination/limits/demand_meter.h"
#include "coordination/limits/limits.h"
#include "coordination/requests/request.h"
#include "core/core.h"

namespace gcw {

// Priority of a request at the engines; 0 is served first.
using EnginePriority = StrongNumber<struct EnginePriorityTag>;

// Dispatch the request now, to one of `endpoints` only. If none are given, the
// router chooses among all endpoints.
struct Admit {
  RequestId request;
  EnginePriority priority;
  EndpointList endpoints;
};

// The request waits at this node. An `Admit` or `Refuse` follows by its
// deadline.
struct Queued {
  RequestId request;
};

// The final answer to a request that was not run.
struct Refuse {
  RequestId request;
  Refusal refusal;
};

// Cancel this running trial request at its endpoint and end its response to the
// caller, then call `OnFinished`.
struct PreemptTrial {
  RequestId request;
};

using AdmissionAction = std::variant<Admit, Queued, Refuse, PreemptTrial>;

// Admission control: decides for each caller's request whether and when this
// node runs it, with which priority and on which endpoints. Contracts are found
// by the digest of the caller's key.
class Admission {
 public:
  class Builder;

  // Adds or changes a contract. A change applies at once to new and waiting
  // requests; running requests finish.
  std::vector<AdmissionAction> OnContract(Time now, const Contract& contract);
  std::vector<AdmissionAction> OnContractWithdrawn(Time now,
                                                   const ContractId& contract);
  // The contract that a caller's key belongs to, or null for an unknown key.
  const Contract* FindContract(const KeyDigest& digest) const {
    return contracts_.FindByKey(digest);
  }
  const Contract* FindContract(const ContractId& id) const {
    return contracts_.Find(id);
  }

  // Takes in a new request. `profile.contract` is the id of the contract that
  // `FindContract` returned; tier, rank and limits come from the contract.
  std::vector<AdmissionAction> Offer(Time now, const RequestProfile& profile);
  std::vector<AdmissionAction> OnHeadroom(Time now,
                                          const ModelId& model,
                                          Headroom headroom);
  std::vector<AdmissionAction> OnHeadroom(Time now,
                                          const ServiceId& service,
                                          Headroom headroom);
  // Called when an admitted request was sent to this endpoint.
  void OnDispatched(const RequestId& request, const EndpointId& endpoint);
  // Called when an admitted request has ended, was cancelled or was not run.
  std::vector<AdmissionAction> OnFinished(Time now,
                                          const RequestId& request,
                                          TokenCount generated);
  // Called when the caller of a waiting request has disconnected.
  void OnAbandoned(const RequestId& request);
  std::vector<AdmissionAction> Tick(Time now);

  std::int64_t queued(Tier tier) const;
  std::int64_t running(Tier tier) const;

 private:
  using Actions = std::vector<AdmissionAction>;

  // Headroom and queues of one model or plain service.
  struct Target {
    Target(const AdmissionSettings& settings, const Random& random);

    AdmissionQueue& queue(Tier tier) {
      return tier == Tier::kPaid ? paid : trial;
    }
    const AdmissionQueue& queue(Tier tier) const {
      return tier == Tier::kPaid ? paid : trial;
    }

    TierRoom room;
    AdmissionQueue paid;
    AdmissionQueue trial;
    // Estimated tokens admitted per second, indexed by tier.
    std::array<DemandMeter, 2> admission_rate;
  };
  enum class Phase { kAwaitingShare, kAwaitingRoom, kRunning };
  struct Request {
    ContractId contract;
    RequestTarget requested_target;
    Tier tier = Tier::kTrial;
    Rank rank;
    // Weight of the contract among those of its rank.
    double weight = 1;
    TokenCount prompt_tokens;
    TokenCount estimate;
    Phase phase = Phase::kAwaitingShare;
    Time deadline;
    Time wait_deadline;
    Target* target = nullptr;
    // Empty before the request is dispatched.
    EndpointId endpoint;
    bool is_preempted = false;
  };
  using RequestMap = std::unordered_map<RequestId, Request>;

  Admission(const AdmissionSettings& settings,
            Random random,
            EventSink sink,
            Limits* limits);

  static std::size_t TierIndex(Tier tier) {
    return tier == Tier::kPaid ? 0 : 1;
  }
  Target& FindOrAddTarget(const RequestTarget& target);
  Request MakeRequest(const Contract& contract, const RequestProfile& profile);
  void AcquireOrAwaitShare(Time now,
                           const RequestId& id,
                           Request& request,
                           Actions& actions);
  void QueueForRoom(Time now,
                    const RequestId& id,
                    Request& request,
                    Actions& actions);
  void Start(Time now, const RequestId& id, Request& request, Actions& actions);
  // Starts the request if there is room for it, else queues it.
  void StartOrQueue(Time now,
                    const RequestId& id,
                    Request& request,
                    Actions& actions);
  void StartQueued(Time now, Target& target, Tier tier, Actions& actions);
  void StartAllQueued(Time now, Target& target, Actions& actions);
  void RetryShares(Time now, Actions& actions);
  void RetryShare(Time now,
                  const RequestId& id,
                  Request& request,
                  Actions& actions);
  void TickTarget(Time now, Target& target, Actions& actions);
  void PreemptOutsideTrialPool(const Target& target, Actions& actions);
  void UpdateRoom(Time now,
                  Target& target,
                  Headroom headroom,
                  Actions& actions);
  static bool HasRoom(Time now, const Request& request);
  static Duration ExpectedWait(const Target& target,
                               Tier tier,
                               const WaitingRequest& request);
  // Refuses a known request that does not run, takes it out of its queue and
  // returns its share if it holds one.
  void DropAndRefuse(const RequestId& id,
                     RefusalKind kind,
                     Duration wait,
                     Actions& actions);
  void EmitRefusal(const RequestId& id,
                   RefusalKind kind,
                   Duration wait,
                   Actions& actions);
  Duration RetryAfter(RefusalKind kind, Duration wait) const;
  void ReportEvent(EventKind kind, const RequestId& id);

  std::unique_ptr<AdmissionSettings> settings_;
  Random random_;
  EventSink sink_;
  Limits* limits_;
  ContractDirectory contracts_;
  TokenEstimator estimator_;
  std::map<ModelId, Target> models_;
  std::map<ServiceId, Target> services_;
  RequestMap requests_;
  // In order of arrival; may contain ids of requests that have been dropped.
  std::deque<RequestId> awaiting_share_;
};

class Admission::Builder {
 public:
  Builder& SetSettings(AdmissionSettings settings);
  Builder& SetRandom(Random random);
  Builder& SetEventSink(EventSink sink);
  // This node's contract limits, which must outlive the admission.
  Builder& SetLimits(Limits* limits);
  Admission Build() const;

 private:
  AdmissionSettings settings_;
  Random random_ = SeededRandom(1);
  EventSink sink_ = DiscardEvents();
  Limits* limits_ = nullptr;
};

}  // namespace gcw

#endif  // COORDINATION_ADMISSION_ADMISSION_H_
