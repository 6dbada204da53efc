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
  Drop(id, RefusalOfShare(decision.outcome), decision.wait, actions);
}

Duration Admission::ExpectedWait(const Target& target,
                                 Tier tier,
                                 const WaitingRequest& request) {
  const double rate = target.drain[TierIndex(tier)].rate();
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

// Trial requests start only if no paid request waits.
void Admission::StartAllWaiting(Time now, Target& target, Actions& actions) {
  if (!target.room.is_known()) {
    return;
  }
  StartWaiting(now, target, Tier::kPaid, actions);
  if (target.paid.empty()) {
    StartWaiting(now, target, Tier::kTrial, actions);
  }
}

void Admission::TickTarget(Time now, Target& target, Actions& actions) {
  for (const Tier tier : {Tier::kPaid, Tier::kTrial}) {
    target.drain[TierIndex(tier)].Measure(now);
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
  requests_.erase(found);
  if (dropped.phase == Phase::kAwaitingRoom) {
    dropped.target->queue(dropped.tier).Remove(id);
  }
  if (dropped.phase != Phase::kAwaitingShare) {
    limits_->Release(dropped.contract, dropped.estimate, TokenCount(0));
  }
  Answer(id, kind, wait, actions);
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

}  // namespace gcw
