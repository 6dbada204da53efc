#include "coordination/requests/attempt_log.h"

#include <algorithm>

namespace gcw {

AttemptLog::AttemptLog(AttemptPolicy policy) : policy_(policy) {}

bool AttemptLog::Start(Time now, const AttemptId& attempt) {
  if (outcome_ || now >= policy_.deadline || attempts_.contains(attempt) ||
      attempts_.size() >= static_cast<std::size_t>(policy_.max_attempts)) {
    return false;
  }
  if (!policy_.repeatable && (AnyRunning() || may_have_run())) {
    return false;
  }
  attempts_[attempt] = AttemptState::kStarted;
  return true;
}

bool AttemptLog::MayWrite(Time now, const AttemptId& attempt) {
  const auto found = attempts_.find(attempt);
  if (outcome_ || now >= policy_.deadline || found == attempts_.end() ||
      found->second != AttemptState::kStarted) {
    return false;
  }
  found->second = AttemptState::kWritten;
  return true;
}

PieceDecision AttemptLog::OnPiece(const AttemptId& attempt,
                                  TokenCount index,
                                  TokenCount count) {
  const auto found = attempts_.find(attempt);
  if (outcome_ || found == attempts_.end() ||
      found->second != AttemptState::kWritten) {
    return PieceDecision::kIgnore;
  }
  // Pieces of two attempts are never mixed, because two runs of a model differ.
  if (chosen_ && *chosen_ != attempt) {
    return PieceDecision::kIgnore;
  }
  if (index + count <= delivered_) {
    return PieceDecision::kSkip;
  }
  if (index != delivered_) {
    return PieceDecision::kGap;
  }
  chosen_ = attempt;
  delivered_ += count;
  return PieceDecision::kDeliver;
}

bool AttemptLog::OnAnswered(const AttemptId& attempt) {
  const auto found = attempts_.find(attempt);
  if (outcome_ || found == attempts_.end() ||
      found->second != AttemptState::kWritten ||
      (chosen_ && *chosen_ != attempt)) {
    return false;
  }
  found->second = AttemptState::kAnswered;
  outcome_ = RequestOutcome::kAnsweredWhole;
  return true;
}

AttemptDecision AttemptLog::OnFailed(Time now,
                                     const AttemptId& attempt,
                                     const AttemptFailure& failure) {
  const auto found = attempts_.find(attempt);
  if (outcome_ || found == attempts_.end() || Ended(found->second)) {
    return AttemptIgnored{};
  }
  const bool not_run = failure.refused_without_running ||
                       failure.progress == AttemptProgress::kNothingSent;
  // An attempt whose answer has begun did run, even if it later claims
  // otherwise.
  const bool delivered = chosen_ == attempt;
  found->second =
      not_run && !delivered ? AttemptState::kNotRun : AttemptState::kFailed;
  if (delivered) {
    // A resumed stream continues from another attempt.
    chosen_.reset();
    if (!policy_.resumable) {
      outcome_ = RequestOutcome::kBroken;
      return TellBroken{};
    }
  }
  if (AnyRunning()) {
    return AttemptPending{};
  }
  if (MayRetry(now)) {
    return AttemptRetry{delivered_};
  }
  return Conclude(failure.refused_without_running
                      ? RefusalKind::kEndpointRefused
                      : RefusalKind::kNoEndpoint);
}

AttemptDecision AttemptLog::GiveUp(RefusalKind reason) {
  if (outcome_) {
    return AttemptIgnored{};
  }
  for (auto& [attempt, state] : attempts_) {
    if (state == AttemptState::kStarted) {
      // `MayWrite` returns false for the attempt from here on.
      state = AttemptState::kNotRun;
    }
  }
  return Conclude(reason);
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

bool AttemptLog::may_have_run() const {
  return std::any_of(attempts_.begin(), attempts_.end(), [](const auto& each) {
    return each.second == AttemptState::kWritten ||
           each.second == AttemptState::kFailed ||
           each.second == AttemptState::kAnswered;
  });
}

bool AttemptLog::Ended(AttemptState state) {
  return state != AttemptState::kStarted && state != AttemptState::kWritten;
}

bool AttemptLog::AnyRunning() const {
  return std::any_of(attempts_.begin(), attempts_.end(),
                     [](const auto& each) { return !Ended(each.second); });
}

bool AttemptLog::MayRetry(Time now) const {
  return now < policy_.deadline &&
         attempts_.size() < static_cast<std::size_t>(policy_.max_attempts) &&
         (policy_.repeatable || !may_have_run());
}

}  // namespace gcw
