#include "coordination/admission.h"

#include <algorithm>
#include <utility>

namespace gcw {
namespace {

// Trial requests come after every rank of paid ones at the engines.
constexpr std::int64_t kTrialPriority = ContractBuilder::kMaxRank + 1;
constexpr double kMillisPerSecond = 1000.0;

RefusalKind RefusalOf(ShareOutcome outcome) {
  switch (outcome) {
    case ShareOutcome::kRequestRate:
      return RefusalKind::kRequestRate;
    case ShareOutcome::kTokenRate:
      return RefusalKind::kTokenRate;
    case ShareOutcome::kConcurrency:
      return RefusalKind::kConcurrency;
    case ShareOutcome::kUnknownContract:
      return RefusalKind::kContractNotValid;
    case ShareOutcome::kGranted:
    case ShareOutcome::kPending:
      return RefusalKind::kNoCapacity;
  }
  return RefusalKind::kNoCapacity;
}

bool ComingBackHelps(RefusalKind kind) {
  return kind != RefusalKind::kUnknownKey &&
         kind != RefusalKind::kContractNotValid &&
         kind != RefusalKind::kModelNotAllowed &&
         kind != RefusalKind::kServiceNotAllowed;
}

EnginePriority PriorityOf(Tier tier, Rank rank) {
  return EnginePriority(rank.value() +
                        (tier == Tier::kTrial ? kTrialPriority : 0));
}

std::size_t IndexOf(Tier tier) {
  return tier == Tier::kPaid ? 0 : 1;
}

}  // namespace

Admission::Target::Target(const AdmissionSettings& settings,
                          const Random& random)
    : room(settings, random),
      paid(settings.paid_queue_limit, settings.quantum_tokens),
      trial(settings.trial_queue_limit, settings.quantum_tokens) {}

Admission::Admission(const AdmissionSettings& settings,
                     Random random,
                     EventSink sink,
                     Limits* limits)
    : settings_(std::make_unique<AdmissionSettings>(settings)),
      random_(std::move(random)),
      sink_(std::move(sink)),
      limits_(limits) {}

Admission::Target& Admission::TargetOf(const RequestTarget& target) {
  if (const auto* model = std::get_if<ModelTarget>(&target)) {
    return models_.try_emplace(model->model, *settings_, random_).first->second;
  }
  const ServiceId& service = std::get<ServiceTarget>(target).service;
  return services_.try_emplace(service, *settings_, random_).first->second;
}

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
        ContractDirectory::Check(contract, now, request.requested);
    if (kind) {
      refused.emplace_back(id, *kind);
    }
  }
  for (const auto& [id, kind] : refused) {
    Drop(id, kind, {}, actions);
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
    Drop(id, RefusalKind::kContractNotValid, {}, actions);
  }
  contracts_.Remove(contract);
  limits_->OnContractWithdrawn(contract);
  estimator_.Forget(contract);
  return actions;
}

Admission::Request Admission::MakeRequest(const Contract& contract,
                                          const RequestProfile& profile) {
  return {.contract = contract.id,
          .requested = profile.target,
          .tier = contract.tier,
          .rank = contract.rank,
          .weight = contract.tokens_per_second,
          .prompt_tokens = profile.prompt_tokens,
          .estimate = estimator_.Estimate(profile),
          .phase = Phase::kAwaitingShare,
          .deadline = profile.deadline,
          .give_up_at = profile.deadline,
          .target = &TargetOf(profile.target),
          .endpoint = {},
          .is_preempted = false};
}

std::vector<AdmissionAction> Admission::Offer(Time now,
                                              const RequestProfile& profile) {
  Actions actions;
  const Contract* contract = contracts_.Find(profile.contract);
  if (contract == nullptr) {
    Answer(profile.id, RefusalKind::kUnknownKey, {}, actions);
    return actions;
  }
  if (const auto kind =
          ContractDirectory::Check(*contract, now, profile.target)) {
    Answer(profile.id, *kind, {}, actions);
    return actions;
  }
  if (profile.deadline <= now) {
    Answer(profile.id, RefusalKind::kDeadline, {}, actions);
    return actions;
  }
  const auto [entry, is_new] =
      requests_.try_emplace(profile.id, MakeRequest(*contract, profile));
  if (is_new) {
    AwaitShare(now, profile.id, entry->second, actions);
  }
  return actions;
}

void Admission::AwaitShare(Time now,
                           const RequestId& id,
                           Request& request,
                           Actions& actions) {
  const ShareDecision decision =
      limits_->TryAcquire(now, request.contract, request.estimate);
  if (decision.outcome == ShareOutcome::kGranted) {
    Place(now, id, request, actions);
    return;
  }
  const bool may_wait =
      decision.outcome == ShareOutcome::kPending &&
      std::ssize(awaiting_share_) < settings_->share_queue_limit;
  if (!may_wait) {
    Answer(id, RefusalOf(decision.outcome), decision.wait, actions);
    requests_.erase(id);
    return;
  }
  request.give_up_at = std::min(request.deadline, now + settings_->share_wait);
  awaiting_share_.push_back(id);
  actions.emplace_back(Queued{id});
}

void Admission::RetryShares(Time now, Actions& actions) {
  const std::deque<RequestId> waiting = std::exchange(awaiting_share_, {});
  for (const RequestId& id : waiting) {
    const auto found = requests_.find(id);
    if (found != requests_.end() &&
        found->second.phase == Phase::kAwaitingShare) {
      RetryShare(now, id, found->second, actions);
    }
  }
}

void Admission::RetryShare(Time now,
                           const RequestId& id,
                           Request& request,
                           Actions& actions) {
  const ShareDecision decision = limits_->TryAcquire(
      now, request.contract, request.estimate, AcquireAttempt::kRepeated);
  if (decision.outcome == ShareOutcome::kGranted) {
    request.give_up_at = request.deadline;
    Place(now, id, request, actions);
    return;
  }
  if (decision.outcome == ShareOutcome::kPending && now < request.give_up_at) {
    awaiting_share_.push_back(id);
    return;
  }
  Drop(id, RefusalOf(decision.outcome), decision.wait, actions);
}

// Room that was never reported is the router's matter for paid work and for
// plain services; trial work runs into measured room only.
bool Admission::HasRoom(Time now, const Request& request) {
  const Target& target = *request.target;
  if (!target.room.is_known()) {
    return request.tier == Tier::kPaid ||
           std::holds_alternative<ServiceTarget>(request.requested);
  }
  const bool is_its_turn =
      target.paid.empty() &&
      (request.tier == Tier::kPaid || target.trial.empty());
  return is_its_turn && target.room.HasRoom(now, request.tier);
}

void Admission::Place(Time now,
                      const RequestId& id,
                      Request& request,
                      Actions& actions) {
  request.phase = Phase::kAwaitingRoom;
  const TierRoom& room = request.target->room;
  if (room.is_known() && !room.HasEndpoints()) {
    Drop(id, RefusalKind::kNoEndpoint, {}, actions);
    return;
  }
  if (HasRoom(now, request)) {
    Start(now, id, request, actions);
    return;
  }
  AwaitRoom(now, id, request, actions);
}

Duration Admission::ExpectedWait(const Target& target,
                                 Tier tier,
                                 const WaitingRequest& request) {
  const double rate = target.drain[IndexOf(tier)].rate();
  if (rate <= 0) {
    return {};
  }
  const double seconds = target.queue(tier).TokensAhead(request) / rate;
  return Duration::Millis(
      static_cast<std::int64_t>(seconds * kMillisPerSecond));
}

void Admission::AwaitRoom(Time now,
                          const RequestId& id,
                          Request& request,
                          Actions& actions) {
  const bool is_trial = request.tier == Tier::kTrial;
  if (is_trial) {
    request.give_up_at =
        std::min(request.deadline, now + settings_->trial_wait);
  }
  WaitingRequest waiting{.id = id,
                         .contract = request.contract,
                         .rank = request.rank,
                         .weight = request.weight,
                         .cost = request.estimate.value(),
                         .give_up_at = request.give_up_at};
  Target& target = *request.target;
  const Duration wait = ExpectedWait(target, request.tier, waiting);
  if (now + wait >= request.give_up_at) {
    Drop(id, is_trial ? RefusalKind::kTrialNoHeadroom : RefusalKind::kDeadline,
         wait, actions);
    return;
  }
  const auto dropped = target.queue(request.tier).Push(std::move(waiting));
  if (!dropped || dropped->id != id) {
    Report(EventKind::kRequestQueued, id);
    actions.emplace_back(Queued{id});
  }
  if (dropped) {
    Drop(dropped->id, RefusalKind::kQueueFull, wait, actions);
  }
}

void Admission::Start(Time now,
                      const RequestId& id,
                      Request& request,
                      Actions& actions) {
  request.phase = Phase::kRunning;
  request.target->room.Admitted(now, request.tier);
  request.target->drain[IndexOf(request.tier)].Add(
      static_cast<double>(request.estimate.value()));
  Report(EventKind::kRequestAdmitted, id);
  actions.emplace_back(Admit{id, PriorityOf(request.tier, request.rank),
                             request.target->room.endpoints(request.tier)});
}

void Admission::StartWaiting(Time now,
                             Target& target,
                             Tier tier,
                             Actions& actions) {
  AdmissionQueue& queue = target.queue(tier);
  while (!queue.empty() && target.room.HasRoom(now, tier)) {
    const auto next = queue.Pop();
    const auto found = requests_.find(next->id);
    if (found == requests_.end()) {
      continue;
    }
    Request& request = found->second;
    const Contract* contract = contracts_.Find(request.contract);
    const auto kind =
        contract == nullptr
            ? std::optional(RefusalKind::kContractNotValid)
            : ContractDirectory::Check(*contract, now, request.requested);
    if (kind) {
      Drop(next->id, *kind, {}, actions);
      continue;
    }
    Start(now, next->id, request, actions);
  }
}

// Trial requests wait until no paid one does.
void Admission::StartAllWaiting(Time now, Target& target, Actions& actions) {
  if (!target.room.is_known()) {
    return;
  }
  StartWaiting(now, target, Tier::kPaid, actions);
  if (target.paid.empty()) {
    StartWaiting(now, target, Tier::kTrial, actions);
  }
}

std::vector<AdmissionAction> Admission::OnCapacity(Time now,
                                                   const ModelId& model,
                                                   Headroom headroom) {
  Actions actions;
  UpdateRoom(now, TargetOf(ModelTarget{model, {}}), std::move(headroom),
             actions);
  return actions;
}

std::vector<AdmissionAction> Admission::OnCapacity(Time now,
                                                   const ServiceId& service,
                                                   Headroom headroom) {
  Actions actions;
  UpdateRoom(now, TargetOf(ServiceTarget{service}), std::move(headroom),
             actions);
  return actions;
}

void Admission::UpdateRoom(Time now,
                           Target& target,
                           Headroom headroom,
                           Actions& actions) {
  target.room.Update(now, std::move(headroom));
  PreemptOutside(target, actions);
  StartAllWaiting(now, target, actions);
}

// Paid work is about to use these endpoints; a trial request left there would
// lengthen each of its steps for as long as it runs.
void Admission::PreemptOutside(const Target& target, Actions& actions) {
  for (auto& [id, request] : requests_) {
    const bool is_placed_trial = request.target == &target &&
                                 request.tier == Tier::kTrial &&
                                 !request.endpoint.empty();
    if (!is_placed_trial || request.is_preempted ||
        target.room.IsOpenToTrial(request.endpoint)) {
      continue;
    }
    request.is_preempted = true;
    Report(EventKind::kTrialPreempted, id);
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
  ended.target->room.Finished(now, ended.tier, ended.endpoint);
  StartAllWaiting(now, *ended.target, actions);
  return actions;
}

void Admission::OnAbandoned(const RequestId& request) {
  const auto found = requests_.find(request);
  if (found == requests_.end() || found->second.phase == Phase::kRunning) {
    return;
  }
  Actions answered_already;
  Drop(request, RefusalKind::kDeadline, {}, answered_already);
}

void Admission::TickTarget(Time now, Target& target, Actions& actions) {
  for (const Tier tier : {Tier::kPaid, Tier::kTrial}) {
    target.drain[IndexOf(tier)].Measure(now);
    for (const WaitingRequest& expired : target.queue(tier).TakeExpired(now)) {
      Drop(expired.id,
           tier == Tier::kTrial ? RefusalKind::kTrialNoHeadroom
                                : RefusalKind::kDeadline,
           {}, actions);
    }
  }
  StartAllWaiting(now, target, actions);
}

std::vector<AdmissionAction> Admission::Tick(Time now) {
  Actions actions;
  RetryShares(now, actions);
  for (auto& [model, target] : models_) {
    TickTarget(now, target, actions);
  }
  for (auto& [service, target] : services_) {
    TickTarget(now, target, actions);
  }
  return actions;
}

void Admission::Drop(const RequestId& id,
                     RefusalKind kind,
                     Duration wait,
                     Actions& actions) {
  const auto found = requests_.find(id);
  if (found == requests_.end()) {
    return;
  }
  const Request dropped = std::move(found->second);
  const RequestId dropped_id = id;
  requests_.erase(found);
  if (dropped.phase == Phase::kAwaitingRoom) {
    dropped.target->queue(dropped.tier).Remove(dropped_id);
  }
  if (dropped.phase != Phase::kAwaitingShare) {
    limits_->Release(dropped.contract, dropped.estimate, TokenCount(0));
  }
  Answer(dropped_id, kind, wait, actions);
}

void Admission::Answer(const RequestId& id,
                       RefusalKind kind,
                       Duration wait,
                       Actions& actions) {
  Report(EventKind::kRequestRefused, id);
  actions.emplace_back(Refuse{id, {kind, RetryAfter(kind, wait)}});
}

Duration Admission::RetryAfter(RefusalKind kind, Duration wait) const {
  if (!ComingBackHelps(kind)) {
    return {};
  }
  const Duration least =
      std::clamp(wait, settings_->retry_base, settings_->retry_limit);
  const double spread = 1 + DrawUnit(random_);
  return Duration::Millis(
      static_cast<std::int64_t>(static_cast<double>(least.millis()) * spread));
}

void Admission::Report(EventKind kind, const RequestId& id) {
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

Admission::Builder& Admission::Builder::SetSettings(
    AdmissionSettings settings) {
  settings_ = settings;
  return *this;
}

Admission::Builder& Admission::Builder::SetRandom(Random random) {
  random_ = std::move(random);
  return *this;
}

Admission::Builder& Admission::Builder::SetEventSink(EventSink sink) {
  sink_ = std::move(sink);
  return *this;
}

Admission::Builder& Admission::Builder::SetLimits(Limits* limits) {
  limits_ = limits;
  return *this;
}

Admission Admission::Builder::Build() const {
  return {settings_, random_, sink_, limits_};
}

}  // namespace gcw
