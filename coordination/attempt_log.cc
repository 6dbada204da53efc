#include "coordination/attempt_log.h"

#include <utility>

namespace gcw {

AttemptLog::AttemptLog(AttemptPolicy policy) : policy_(policy) {}

bool AttemptLog::Ended(AttemptState state) const {
  return state != AttemptState::kStarted && state != AttemptState::kWritten;
}

bool AttemptLog::AnyRunning() const {
  for (const auto& [id, state] : attempts_) {
    if (!Ended(state)) {
      return true;
    }
  }
  return false;
}

bool AttemptLog::may_have_run() const {
  for (const auto& [id, state] : attempts_) {
    if (state != AttemptState::kStarted && state != AttemptState::kNotRun) {
      return true;
    }
  }
  return false;
}

bool AttemptLog::Start(Time now, const AttemptId& attempt) {
  const bool tried_enough =
      static_cast<int>(attempts_.size()) >= policy_.most_attempts;
  if (outcome_ || tried_enough || now >= policy_.deadline ||
      attempts_.contains(attempt)) {
    return false;
  }
  if (!policy_.repeatable && (may_have_run() || AnyRunning())) {
    return false;
  }
  attempts_.emplace(attempt, AttemptState::kStarted);
  return true;
}

bool AttemptLog::MayWrite(Time now, const AttemptId& attempt) {
  const auto found = attempts_.find(attempt);
  if (found == attempts_.end() || found->second != AttemptState::kStarted ||
      outcome_ || now >= policy_.deadline) {
    return false;
  }
  found->second = AttemptState::kWritten;
  return true;
}

PieceDecision AttemptLog::OnPiece(const AttemptId& attempt,
                                  TokenCount index,
                                  TokenCount count) {
  const auto found = attempts_.find(attempt);
  if (found == attempts_.end() || Ended(found->second) || outcome_ ||
      (chosen_ && *chosen_ != attempt)) {
    return PieceDecision::kIgnore;
  }
  if (index > delivered_) {
    return PieceDecision::kGap;
  }
  if (index + count <= delivered_) {
    return PieceDecision::kSkip;
  }
  chosen_ = attempt;
  delivered_ = index + count;
  return PieceDecision::kDeliver;
}

bool AttemptLog::OnAnswered(const AttemptId& attempt) {
  const auto found = attempts_.find(attempt);
  if (found == attempts_.end() || Ended(found->second)) {
    return false;
  }
  found->second = AttemptState::kAnswered;
  if (outcome_ || (chosen_ && *chosen_ != attempt)) {
    return false;
  }
  outcome_ = RequestOutcome::kAnsweredWhole;
  return true;
}

AttemptDecision AttemptLog::OnFailed(Time now,
                                     const AttemptId& attempt,
                                     const AttemptFailure& failure) {
  const auto found = attempts_.find(attempt);
  if (found == attempts_.end() || Ended(found->second)) {
    return AttemptIgnored{};
  }
  const bool not_run = failure.refused_without_running ||
                       failure.progress == AttemptProgress::kNothingSent;
  found->second = not_run ? AttemptState::kNotRun : AttemptState::kFailed;
  last_was_refusal_ = failure.refused_without_running;
  if (outcome_) {
    return AttemptIgnored{};
  }
  if (chosen_ == attempt) {
    chosen_.reset();
  }
  if (AnyRunning()) {
    return AttemptPending{};
  }
  if (MayTryAgain(now)) {
    return AttemptAgain{delivered_};
  }
  return Conclude(last_was_refusal_ ? RefusalKind::kEndpointRefused
                                    : RefusalKind::kNoEndpoint);
}

AttemptDecision AttemptLog::GiveUp(Time /*now*/, RefusalKind reason) {
  if (outcome_) {
    return AttemptIgnored{};
  }
  return Conclude(reason);
}

bool AttemptLog::MayTryAgain(Time now) const {
  if (static_cast<int>(attempts_.size()) >= policy_.most_attempts ||
      now >= policy_.deadline) {
    return false;
  }
  if (!policy_.repeatable && may_have_run()) {
    return false;
  }
  return delivered_ == TokenCount() || policy_.resumable;
}

AttemptDecision AttemptLog::Conclude(RefusalKind reason) {
  if (delivered_ > TokenCount()) {
    outcome_ = RequestOutcome::kBroken;
    return TellBroken{};
  }
  if (may_have_run()) {
    outcome_ = RequestOutcome::kUnknown;
    return TellOutcomeUnknown{};
  }
  outcome_ = RequestOutcome::kNotRun;
  return TellNotRun{reason};
}

}  // namespace gcw
