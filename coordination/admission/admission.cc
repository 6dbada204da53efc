#include "coordination/admission/admission.h"

#include <algorithm>
#include <utility>

#include "coordination/requests/refusals.h"

namespace gcw {
namespace {

// Engines serve trial requests after paid requests of every rank.
constexpr std::int64_t kTrialPriorityOffset = ContractBuilder::kMaxRank + 1;

EnginePriority PriorityOf(Tier tier, Rank rank) {
  return EnginePriority(rank.value() +
                        (tier == Tier::kTrial ? kTrialPriorityOffset : 0));
}

}  // namespace

std::vector<AdmissionAction> Admission::OnContract(Time now,
                                                   const Contract& contract) {
  contracts_.Set(contract);
  limits_->OnContract(now, contract);
  Actions actions;
  std::vector<std::pair<RequestId, RefusalKind>> refused;
  for (const auto& [id, request] : requests_) {
    if (request.contract != contract.id || request.phase == Phase::kRunning) {
      continue;
    }
    const auto kind =
        ContractDirectory::Check(contract, now, request.requested_target);
    if (kind) {
      refused.emplace_back(id, *kind);
    }
  }
  for (const auto& [id, kind] : refused) {
    DropAndRefuse(id, kind, {}, actions);
  }
  return actions;
}

std::vector<AdmissionAction> Admission::OnContractWithdrawn(
    Time /*now*/,
    const ContractId& contract) {
  Actions actions;
  std::vector<RequestId> waiting;
  for (const auto& [id, request] : requests_) {
    if (request.contract == contract && request.phase != Phase::kRunning) {
      waiting.push_back(id);
    }
  }
  for (const RequestId& id : waiting) {
    DropAndRefuse(id, RefusalKind::kContractNotValid, {}, actions);
  }
  contracts_.Remove(contract);
  limits_->OnContractWithdrawn(contract);
  estimator_.Remove(contract);
  return actions;
}

Admission::Request Admission::MakeRequest(const Contract& contract,
                                          const RequestProfile& profile) {
  return {.contract = contract.id,
          .requested_target = profile.target,
          .tier = contract.tier,
          .rank = contract.rank,
          .weight = contract.tokens_per_second,
          .prompt_tokens = profile.prompt_tokens,
          .estimate = estimator_.Estimate(profile),
          .phase = Phase::kAwaitingShare,
          .deadline = profile.deadline,
          .wait_deadline = profile.deadline,
          .target = &FindOrAddTarget(profile.target),
          .endpoint = {},
          .is_preempted = false};
}

std::vector<AdmissionAction> Admission::Offer(Time now,
                                              const RequestProfile& profile) {
  Actions actions;
  const Contract* contract = contracts_.Find(profile.contract);
  if (contract == nullptr) {
    EmitRefusal(profile.id, RefusalKind::kUnknownKey, {}, actions);
    return actions;
  }
  if (const auto kind =
          ContractDirectory::Check(*contract, now, profile.target)) {
    EmitRefusal(profile.id, *kind, {}, actions);
    return actions;
  }
  if (profile.deadline <= now) {
    EmitRefusal(profile.id, RefusalKind::kDeadline, {}, actions);
    return actions;
  }
  const auto [entry, is_new] =
      requests_.try_emplace(profile.id, MakeRequest(*contract, profile));
  if (is_new) {
    AcquireOrAwaitShare(now, profile.id, entry->second, actions);
  }
  return actions;
}

void Admission::AcquireOrAwaitShare(Time now,
                                    const RequestId& id,
                                    Request& request,
                                    Actions& actions) {
  const ShareDecision decision =
      limits_->TryAcquire(now, request.contract, request.estimate);
  if (decision.outcome == ShareOutcome::kGranted) {
    StartOrQueue(now, id, request, actions);
    return;
  }
  const bool may_wait =
      decision.outcome == ShareOutcome::kPending &&
      std::ssize(awaiting_share_) < settings_->share_queue_limit;
  if (!may_wait) {
    EmitRefusal(id, ShareRefusalKind(decision.outcome), decision.wait, actions);
    requests_.erase(id);
    return;
  }
  request.wait_deadline =
      std::min(request.deadline, now + settings_->max_share_wait);
  awaiting_share_.push_back(id);
  actions.emplace_back(Queued{id});
}

// Before the first report, paid requests and requests to plain services are
// left to the router; trial requests to models need reported room.
bool Admission::HasRoom(Time now, const Request& request) {
  const Target& target = *request.target;
  if (!target.room.is_known()) {
    return request.tier == Tier::kPaid ||
           std::holds_alternative<ServiceTarget>(request.requested_target);
  }
  const bool is_next = target.paid.empty() &&
                       (request.tier == Tier::kPaid || target.trial.empty());
  return is_next && target.room.HasRoom(now, request.tier);
}

void Admission::StartOrQueue(Time now,
                             const RequestId& id,
                             Request& request,
                             Actions& actions) {
  request.phase = Phase::kAwaitingRoom;
  const TierRoom& room = request.target->room;
  if (room.is_known() && !room.HasEndpoints()) {
    DropAndRefuse(id, RefusalKind::kNoEndpoint, {}, actions);
    return;
  }
  if (HasRoom(now, request)) {
    Start(now, id, request, actions);
    return;
  }
  QueueForRoom(now, id, request, actions);
}

void Admission::Start(Time now,
                      const RequestId& id,
                      Request& request,
                      Actions& actions) {
  request.phase = Phase::kRunning;
  request.target->room.OnAdmitted(now, request.tier);
  request.target->admission_rate[TierIndex(request.tier)].Add(
      static_cast<double>(request.estimate.value()));
  ReportEvent(EventKind::kRequestAdmitted, id);
  actions.emplace_back(Admit{id, PriorityOf(request.tier, request.rank),
                             request.target->room.endpoints(request.tier)});
}

std::vector<AdmissionAction> Admission::OnHeadroom(Time now,
                                                   const ModelId& model,
                                                   Headroom headroom) {
  Actions actions;
  UpdateRoom(now, FindOrAddTarget(ModelTarget{model, {}}), std::move(headroom),
             actions);
  return actions;
}

std::vector<AdmissionAction> Admission::OnHeadroom(Time now,
                                                   const ServiceId& service,
                                                   Headroom headroom) {
  Actions actions;
  UpdateRoom(now, FindOrAddTarget(ServiceTarget{service}), std::move(headroom),
             actions);
  return actions;
}

void Admission::UpdateRoom(Time now,
                           Target& target,
                           Headroom headroom,
                           Actions& actions) {
  target.room.Update(now, std::move(headroom));
  PreemptOutsideTrialPool(target, actions);
  StartAllQueued(now, target, actions);
}

// Paid work is about to use the endpoints outside the trial pool. A trial
// request left there would lengthen every step of the paid requests until it
// ends.
void Admission::PreemptOutsideTrialPool(const Target& target,
                                        Actions& actions) {
  for (auto& [id, request] : requests_) {
    const bool is_placed_trial = request.target == &target &&
                                 request.tier == Tier::kTrial &&
                                 !request.endpoint.empty();
    if (!is_placed_trial || request.is_preempted ||
        target.room.IsOpenToTrial(request.endpoint)) {
      continue;
    }
    request.is_preempted = true;
    ReportEvent(EventKind::kTrialPreempted, id);
    actions.emplace_back(PreemptTrial{id});
  }
}

void Admission::OnDispatched(const RequestId& request,
                             const EndpointId& endpoint) {
  const auto found = requests_.find(request);
  if (found != requests_.end()) {
    found->second.endpoint = endpoint;
  }
}

std::vector<AdmissionAction> Admission::OnFinished(Time now,
                                                   const RequestId& request,
                                                   TokenCount generated) {
  Actions actions;
  const auto found = requests_.find(request);
  if (found == requests_.end() || found->second.phase != Phase::kRunning) {
    return actions;
  }
  const Request ended = std::move(found->second);
  requests_.erase(found);
  const bool did_run = generated > TokenCount(0);
  const TokenCount used =
      did_run ? ended.prompt_tokens + generated : TokenCount(0);
  limits_->Release(ended.contract, ended.estimate, used);
  if (did_run) {
    estimator_.Learn(ended.contract, generated);
  }
  ended.target->room.OnFinished(now, ended.tier, ended.endpoint);
  StartAllQueued(now, *ended.target, actions);
  return actions;
}

void Admission::OnAbandoned(const RequestId& request) {
  const auto found = requests_.find(request);
  if (found == requests_.end() || found->second.phase == Phase::kRunning) {
    return;
  }
  Actions discarded;
  DropAndRefuse(request, RefusalKind::kDeadline, {}, discarded);
}

void Admission::ReportEvent(EventKind kind, const RequestId& id) {
  sink_({.kind = kind, .subject = id.value(), .cause = {}, .fields = {}});
}

std::int64_t Admission::queued(Tier tier) const {
  return std::count_if(requests_.begin(), requests_.end(), [&](const auto& e) {
    return e.second.tier == tier && e.second.phase != Phase::kRunning;
  });
}

std::int64_t Admission::running(Tier tier) const {
  return std::count_if(requests_.begin(), requests_.end(), [&](const auto& e) {
    return e.second.tier == tier && e.second.phase == Phase::kRunning;
  });
}

}  // namespace gcw
