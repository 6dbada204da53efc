#ifndef COORDINATION_REQUESTS_ATTEMPT_LOG_H_
#define COORDINATION_REQUESTS_ATTEMPT_LOG_H_

#include <cstdint>
#include <map>
#include <optional>
#include <variant>

#include "coordination/requests/request.h"

namespace gcw {

// How far an attempt got. Mirrors the transport's `HttpProgress`.
enum class AttemptProgress {
  // No byte was handed to the kernel, so the attempt did not run.
  kNothingSent,
  // The attempt may have run.
  kMaybeSent,
  // The head of the answer arrived, so the attempt ran.
  kAnswerBegun,
};

struct AttemptFailure {
  AttemptProgress progress = AttemptProgress::kNothingSent;
  // The endpoint answered completely, with this attempt's id, that it did not
  // run the request.
  bool refused_without_running = false;
};

struct AttemptPolicy {
  // True if running the request twice does no harm.
  bool repeatable = true;
  // True if a stream can continue at another endpoint after its first tokens.
  bool resumable = false;
  int max_attempts = 3;
  Time deadline;
};

// Retry at another endpoint, which continues after `resume_from` tokens.
struct AttemptRetry {
  TokenCount resume_from;
};
// Tell the caller that the request was not run.
struct TellNotRun {
  RefusalKind reason = RefusalKind::kEndpointRefused;
};
// Tell the caller that the request may have run.
struct TellOutcomeUnknown {};
// The caller has received a part of the answer: end it with an explicit error.
struct TellBroken {};
// Another attempt is still running. Tell the caller nothing yet.
struct AttemptPending {};
// The attempt is unknown or was given up, or the caller already has the final
// answer. Nothing of this attempt may reach the caller.
struct AttemptIgnored {};

using AttemptDecision = std::variant<AttemptRetry,
                                     TellNotRun,
                                     TellOutcomeUnknown,
                                     TellBroken,
                                     AttemptPending,
                                     AttemptIgnored>;

// What to do with a piece of an answer.
enum class PieceDecision {
  kDeliver,
  // The caller has received it already.
  kSkip,
  // It belongs to an attempt whose pieces may not reach the caller.
  kIgnore,
  // An earlier piece is missing, so the attempt has failed.
  kGap,
};

// The final answer that the caller got.
enum class RequestOutcome { kAnsweredWhole, kNotRun, kUnknown, kBroken };

// Tracks the attempts of one request and decides what the caller may be told.
// It is the only place that decides whether a request was run.
class AttemptLog {
 public:
  explicit AttemptLog(AttemptPolicy policy);

  // Starts an attempt. Earlier attempts must have ended, unless the request is
  // repeatable (a hedge). Returns false if no attempt may start: the caller has
  // the final answer, the deadline or the maximum number of attempts is
  // reached, or an earlier attempt of a request that is not repeatable may have
  // run.
  bool Start(Time now, const AttemptId& attempt);
  // Called right before the first byte is written. Returns false if the attempt
  // must not be written. If true, the attempt counts as possibly run from then
  // on.
  bool MayWrite(Time now, const AttemptId& attempt);
  // Handles a piece of an answer that starts at token `index` and is `count`
  // tokens long. Once a piece of an attempt is delivered, only that attempt
  // reaches the caller.
  PieceDecision OnPiece(const AttemptId& attempt,
                        TokenCount index,
                        TokenCount count);
  // Called when the whole answer has arrived. Returns true if the answer goes
  // to the caller.
  bool OnAnswered(const AttemptId& attempt);
  AttemptDecision OnFailed(Time now,
                           const AttemptId& attempt,
                           const AttemptFailure& failure);
  // Called when the caller's deadline has passed or no endpoint is available.
  AttemptDecision GiveUp(RefusalKind reason);

  // The final answer that the caller got, once decided.
  std::optional<RequestOutcome> outcome() const { return outcome_; }
  // True if any attempt may have run or may still run.
  bool may_have_run() const;
  TokenCount delivered() const { return delivered_; }

 private:
  enum class AttemptState { kStarted, kWritten, kNotRun, kFailed, kAnswered };

  static bool Ended(AttemptState state);
  bool AnyRunning() const;
  AttemptDecision Conclude(RefusalKind reason);
  bool MayRetry(Time now) const;

  AttemptPolicy policy_;
  std::map<AttemptId, AttemptState> attempts_;
  // The attempt whose pieces reach the caller.
  std::optional<AttemptId> chosen_;
  TokenCount delivered_;
  std::optional<RequestOutcome> outcome_;
};

}  // namespace gcw

#endif  // COORDINATION_REQUESTS_ATTEMPT_LOG_H_
