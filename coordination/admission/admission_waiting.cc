// The part of `Admission` that handles requests that wait for their contract's
// share or for room, and refusals.

#include <algorithm>
#include <utility>

#include "coordination/admission/admission.h"
#include "coordination/requests/refusals.h"

namespace gcw {
namespace {

constexpr double kMillisPerSecond = 1000.0;

}  // namespace

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
      now, request.contract, request.estimate, AcquireAttempt::kRetry);
  if (decision.outcome == ShareOutcome::kGranted) {
    request.wait_deadline = request.deadline;
    StartOrQueue(now, id, request, actions);
    return;
  }
  if (decision.outcome == ShareOutcome::kPending &&
      now < request.wait_deadline) {
    awaiting_share_.push_back(id);
    return;
  }
  DropAndRefuse(id, ShareRefusalKind(decision.outcome), decision.wait, actions);
}

Duration Admission::ExpectedWait(const Target& target,
                                 Tier tier,
                                 const WaitingRequest& request) {
  const double rate = target.admission_rate[TierIndex(tier)].rate();
  if (rate <= 0) {
    return {};
  }
  const double seconds = target.queue(tier).TokensAhead(request) / rate;
  return Duration::Millis(
      static_cast<std::int64_t>(seconds * kMillisPerSecond));
}

void Admission::QueueForRoom(Time now,
                             const RequestId& id,
                             Request& request,
                             Actions& actions) {
  const bool is_trial = request.tier == Tier::kTrial;
  if (is_trial) {
    request.wait_deadline =
        std::min(request.deadline, now + settings_->max_trial_wait);
  }
  WaitingRequest waiting{.id = id,
                         .contract = request.contract,
                         .rank = request.rank,
                         .weight = request.weight,
                         .cost = request.estimate.value(),
                         .wait_deadline = request.wait_deadline};
  Target& target = *request.target;
  const Duration wait = ExpectedWait(target, request.tier, waiting);
  if (now + wait >= request.wait_deadline) {
    DropAndRefuse(
        id, is_trial ? RefusalKind::kTrialNoHeadroom : RefusalKind::kDeadline,
        wait, actions);
    return;
  }
  const auto dropped = target.queue(request.tier).Push(std::move(waiting));
  if (!dropped || dropped->id != id) {
    ReportEvent(EventKind::kRequestQueued, id);
    actions.emplace_back(Queued{id});
  }
  if (dropped) {
    DropAndRefuse(dropped->id, RefusalKind::kQueueFull, wait, actions);
  }
}

void Admission::StartQueued(Time now,
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
    const auto kind = contract == nullptr
                          ? std::optional(RefusalKind::kContractNotValid)
                          : ContractDirectory::Check(*contract, now,
                                                     request.requested_target);
    if (kind) {
      DropAndRefuse(next->id, *kind, {}, actions);
      continue;
    }
    Start(now, next->id, request, actions);
  }
}

// Trial requests start only if no paid request waits.
void Admission::StartAllQueued(Time now, Target& target, Actions& actions) {
  if (!target.room.is_known()) {
    return;
  }
  StartQueued(now, target, Tier::kPaid, actions);
  if (target.paid.empty()) {
    StartQueued(now, target, Tier::kTrial, actions);
  }
}

void Admission::TickTarget(Time now, Target& target, Actions& actions) {
  for (const Tier tier : {Tier::kPaid, Tier::kTrial}) {
    target.admission_rate[TierIndex(tier)].Measure(now);
    for (const WaitingRequest& expired : target.queue(tier).TakeExpired(now)) {
      DropAndRefuse(expired.id,
                    tier == Tier::kTrial ? RefusalKind::kTrialNoHeadroom
                                         : RefusalKind::kDeadline,
                    {}, actions);
    }
  }
  StartAllQueued(now, target, actions);
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

void Admission::DropAndRefuse(const RequestId& id,
                              RefusalKind kind,
                              Duration wait,
                              Actions& actions) {
  const auto found = requests_.find(id);
  if (found == requests_.end()) {
    return;
  }
  const Request dropped = std::move(found->second);
  requests_.erase(found);
  if (dropped.phase == Phase::kAwaitingRoom) {
    dropped.target->queue(dropped.tier).Remove(id);
  }
  if (dropped.phase != Phase::kAwaitingShare) {
    limits_->Release(dropped.contract, dropped.estimate, TokenCount(0));
  }
  EmitRefusal(id, kind, wait, actions);
}

void Admission::EmitRefusal(const RequestId& id,
                            RefusalKind kind,
                            Duration wait,
                            Actions& actions) {
  ReportEvent(EventKind::kRequestRefused, id);
  actions.emplace_back(Refuse{id, {kind, RetryAfter(kind, wait)}});
}

Duration Admission::RetryAfter(RefusalKind kind, Duration wait) const {
  if (!CanSucceedLater(kind)) {
    return {};
  }
  const Duration base_delay =
      std::clamp(wait, settings_->min_retry_delay, settings_->max_retry_delay);
  const double jitter = 1 + DrawUnit(random_);
  return Duration::Millis(static_cast<std::int64_t>(
      static_cast<double>(base_delay.millis()) * jitter));
}

}  // namespace gcw
