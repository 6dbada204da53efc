// Requests that may crash endpoints: what they are suspected for, whether they
// run, wait or run apart, and what their attempts show.

#include <algorithm>
#include <string>
#include <utility>

#include "coordination/gateway/forward_controller.h"
#include "coordination/stable_hash.h"

namespace gcw {

Fingerprint ForwardController::MakeFingerprint(
    const OpenRequest& open_request) {
  const std::string text =
      std::to_string(open_request.request.content.value()) + "\n" +
      open_request.customer.value();
  return Fingerprint(
      static_cast<std::int64_t>(StableHash(text) & kFingerprintMask));
}

void ForwardController::AddSuspects(OpenRequest& open_request) {
  open_request.suspects.push_back(WholeRequest(open_request.fingerprint));
  if (!HasModels(open_request)) {
    return;
  }
  for (const PromptPartId& part : open_request.request.shared_parts) {
    const std::string text = "part\n" + open_request.service.value() + "\n" +
                             open_request.request.model.value() + "\n" +
                             part.value();
    const auto hash =
        static_cast<std::int64_t>(StableHash(text) & kFingerprintMask);
    open_request.suspects.push_back(
        {.fingerprint = Fingerprint(hash | kPartFingerprintBit),
         .part = part,
         .is_apart = false});
  }
}

ForwardStep ForwardController::DispatchOrWait(Time now,
                                              ForwardId id,
                                              OpenRequest& open_request) {
  const CrashJudgement judgement =
      crash_guard_->Judge(now, open_request.suspects);
  open_request.restricting = judgement.suspect;
  switch (judgement.verdict) {
    case CrashVerdict::kBlocked:
      return Refuse(now, open_request, RefusalKind::kFingerprintBlocked);
    case CrashVerdict::kNeedsTrial:
      return WaitForDecision(now, id, open_request);
    case CrashVerdict::kApart:
    case CrashVerdict::kAllowed:
      break;
  }
  if (NeedsRunLock(now, open_request)) {
    run_locks_->Wait(now, id, open_request.fingerprint);
    return AwaitDecision{};
  }
  return DispatchFirst(now, open_request);
}

bool ForwardController::NeedsRunLock(Time now,
                                     const OpenRequest& open_request) const {
  // The node that a relayed request arrived at holds its lock.
  return !open_request.is_run_lock_decided && !open_request.request.relay &&
         crash_guard_->MayLackEvidence(now) &&
         !run_locks_->IsHarmless(open_request.fingerprint);
}

ForwardStep ForwardController::OnRunLockDecided(Time now, ForwardId id) {
  const auto found = open_requests_.find(id);
  if (found == open_requests_.end()) {
    run_locks_->OnEnded(id);
    return ForwardTruncated{};
  }
  OpenRequest open_request = std::move(found->second);
  open_request.is_run_lock_decided = true;
  ForwardStep step = DispatchOrWait(now, id, open_request);
  Track(id, std::move(open_request), step);
  return step;
}

ForwardStep ForwardController::WaitForDecision(Time now,
                                               ForwardId id,
                                               OpenRequest& open_request) {
  run_locks_->OnOutcome(now, id, RunOutcome::kSuspected);
  // A request that no endpoint can take need not wait. Another node decides for
  // itself.
  const Result<ReplicaChoice, RefusalKind> choice =
      selector_->Choose(now, MakeDemand(open_request), {});
  if (!IsOk(choice) || reachability_->is_cut()) {
    if (auto relay =
            Relay(now, open_request, open_request.request.resume_after)) {
      return *std::move(relay);
    }
  }
  if (!IsOk(choice)) {
    return Refuse(now, open_request, ErrorOf(choice));
  }
  if (!crash_guard_->Wait(now, id, open_request.restricting)) {
    return Refuse(now, open_request, RefusalKind::kFingerprintBlocked);
  }
  return AwaitDecision{};
}

ForwardStep ForwardController::OnDecision(Time now,
                                          const CrashDecision& decision) {
  const auto found = open_requests_.find(decision.id);
  if (found == open_requests_.end()) {
    if (decision.is_trial) {
      crash_guard_->OnTrialUnused(now, decision.fingerprint);
    }
    return ForwardTruncated{};
  }
  OpenRequest open_request = std::move(found->second);
  open_request.is_trial = decision.is_trial;
  ForwardStep step = TakeDecision(now, decision, open_request);
  if (decision.is_trial && !std::holds_alternative<SendForward>(step)) {
    crash_guard_->OnTrialUnused(now, decision.fingerprint);
  }
  Track(decision.id, std::move(open_request), step);
  return step;
}

ForwardStep ForwardController::TakeDecision(Time now,
                                            const CrashDecision& decision,
                                            OpenRequest& open_request) {
  if (std::exchange(open_request.awaits_trial, false)) {
    return ResumeAfterDecision(now, decision, open_request);
  }
  // A trial shows nothing if another suspect crashes its endpoint.
  const CrashJudgement judgement =
      crash_guard_->Judge(now, open_request.suspects);
  if (!decision.may_run || judgement.verdict == CrashVerdict::kBlocked) {
    return Refuse(now, open_request, RefusalKind::kFingerprintBlocked);
  }
  return decision.is_trial || decision.is_untried
             ? DispatchFirst(now, open_request)
             : DispatchOrWait(now, decision.id, open_request);
}

ForwardStep ForwardController::ResumeAfterDecision(
    Time now,
    const CrashDecision& decision,
    OpenRequest& open_request) {
  const ForwardEnd end = *std::exchange(open_request.resume_from, {});
  const bool is_blocked =
      !decision.may_run ||
      crash_guard_->Judge(now, open_request.suspects).verdict ==
          CrashVerdict::kBlocked;
  if (is_blocked || !MayRunAgain(now, open_request, end)) {
    return GiveUp(
        now, open_request, end,
        is_blocked ? RefusalKind::kFingerprintBlocked : RefusalKind::kDeadline);
  }
  Result<ForwardStep, RefusalKind> step = Resend(
      now, open_request, end, end.kind != ForwardEndKind::kNothingSent, false);
  return IsOk(step) ? std::move(ValueOf(step))
                    : GiveUp(now, open_request, end, ErrorOf(step));
}

bool ForwardController::MayWaitForTrial(Time now,
                                        const OpenRequest& open_request,
                                        RefusalKind lacking) const {
  if (lacking != RefusalKind::kFingerprintBlocked || open_request.is_trial) {
    return false;
  }
  const CrashJudgement judgement =
      crash_guard_->Judge(now, open_request.suspects);
  return judgement.verdict == CrashVerdict::kNeedsTrial &&
         crash_guard_->MayRetryAsTrial(now, judgement.suspect.fingerprint);
}

std::optional<Fingerprint> ForwardController::KeepApart(
    Time now,
    OpenRequest& open_request) const {
  const CrashJudgement judgement =
      crash_guard_->Judge(now, open_request.suspects);
  if (!open_request.is_trial) {
    open_request.restricting = judgement.suspect;
  }
  const Fingerprint part = open_request.restricting.fingerprint;
  const bool is_apart =
      IsPartFingerprint(part) &&
      (open_request.is_trial || judgement.verdict >= CrashVerdict::kApart);
  for (CrashSuspect& suspect : open_request.suspects) {
    suspect.is_apart = is_apart && suspect.fingerprint == part;
  }
  return is_apart ? std::optional(part) : std::nullopt;
}

bool ForwardController::IsTrialUnused(const OpenRequest& open_request,
                                      const ForwardEnd& end) {
  // Healthy requests wait for a part's trial, so the next one may begin at once
  // if the endpoint did not run this one.
  const bool is_not_run = end.kind == ForwardEndKind::kNotRun ||
                          end.kind == ForwardEndKind::kOtherVm;
  return !open_request.has_trial_reached_endpoint ||
         (is_not_run &&
          IsPartFingerprint(open_request.restricting.fingerprint));
}

bool ForwardController::IsProvenHarmless(
    Time now,
    const OpenRequest& open_request) const {
  return open_request.first_event &&
         now - *open_request.first_event >= crash_guard_->proof_time();
}

void ForwardController::ReportHarmless(Time now, OpenRequest& open_request) {
  crash_guard_->OnHarmless(now, open_request.fingerprint);
  run_locks_->OnOutcome(now, open_request.id, RunOutcome::kHarmless);
  ReportPartsHarmless(now, open_request,
                      open_request.first_event.value_or(open_request.sent));
}

void ForwardController::ReportPartsHarmless(Time now,
                                            OpenRequest& open_request,
                                            Time began) {
  open_request.are_parts_proven = true;
  crash_guard_->OnPartsHarmless(now, began, open_request.suspects);
  const Fingerprint tried = open_request.restricting.fingerprint;
  if (open_request.is_trial && IsPartFingerprint(tried)) {
    open_request.is_trial = false;
    crash_guard_->OnTrialRan(now, tried);
  }
}

void ForwardController::ReportHarmlessProgress(Time now,
                                               OpenRequest& open_request) {
  if (IsProvenHarmless(now, open_request)) {
    crash_guard_->OnHarmless(now, open_request.fingerprint);
    run_locks_->OnOutcome(now, open_request.id, RunOutcome::kHarmless);
  }
  if (!open_request.are_parts_proven &&
      now - *open_request.first_event >= crash_guard_->part_proof_time()) {
    ReportPartsHarmless(now, open_request, *open_request.first_event);
  }
}

void ForwardController::ReportBreak(Time now,
                                    const OpenRequest& open_request,
                                    const ForwardEnd& end) {
  if (end.kind != ForwardEndKind::kConnectionBroken ||
      !end.closed_by_endpoint) {
    return;
  }
  BrokenAttempt broken;
  broken.endpoint = open_request.endpoint;
  broken.address = open_request.address;
  const bool is_harmless = IsProvenHarmless(now, open_request);
  if (is_harmless) {
    crash_guard_->OnHarmless(now, open_request.fingerprint);
  } else {
    broken.suspects = open_request.suspects;
  }
  if (open_request.are_parts_proven) {
    std::erase_if(broken.suspects, [](const CrashSuspect& suspect) {
      return IsPartFingerprint(suspect.fingerprint);
    });
  }
  crash_guard_->OnBroken(now, broken);
  const bool is_suspected = crash_guard_->Judge(now, open_request.fingerprint) >
                            CrashVerdict::kAllowed;
  RunOutcome outcome = RunOutcome::kUnknown;
  if (is_harmless) {
    outcome = RunOutcome::kHarmless;
  } else if (is_suspected) {
    outcome = RunOutcome::kSuspected;
  }
  run_locks_->OnOutcome(now, open_request.id, outcome);
}

}  // namespace gcw
