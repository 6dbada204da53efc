#ifndef COORDINATION_REQUESTS_ATTEMPT_LOG_H_
#define COORDINATION_REQUESTS_ATTEMPT_LOG_H_

#include <cstdint>
#include <map>
#include <optional>
#include <variant>

#include "coordination/requests/request.h"

namespace gcw {

// How far an attempt got. The transport's `HttpProgress` in the words of the
// decisions.
enum class AttemptProgress {
  // No byte was given to the kernel: the attempt was not run.
  kNothingSent,
  // It may have run.
  kMaybeSent,
  // The answer's head arrived, so it ran.
  kAnswerBegun,
};

struct AttemptFailure {
  AttemptProgress progress = AttemptProgress::kNothingSent;
  // The endpoint said that it did not run the request, in a whole answer with
  // this attempt's id.
  bool refused_without_running = false;
};

struct AttemptPolicy {
  // Whether running the request twice does no harm.
  bool repeatable = true;
  // Whether a stream can be continued at another endpoint after its first
  // tokens.
  bool resumable = false;
  int most_attempts = 3;
  Time deadline;
};

// Try again at another endpoint, which continues after `resume_from` tokens.
struct AttemptAgain {
  TokenCount resume_from;
};
// Tell the caller that the request was not run.
struct TellNotRun {
  RefusalKind reason = RefusalKind::kEndpointRefused;
};
// Tell the caller that the request may have run.
struct TellOutcomeUnknown {};
// The caller holds a part of the answer: end it with an explicit error.
struct TellBroken {};
// Another attempt still runs; nothing to tell yet.
struct AttemptPending {};
// The attempt is not known, was given up, or the caller has been told: nothing
// of this may reach the caller.
struct AttemptIgnored {};

using AttemptDecision = std::variant<AttemptAgain,
                                     TellNotRun,
                                     TellOutcomeUnknown,
                                     TellBroken,
                                     AttemptPending,
                                     AttemptIgnored>;

// What to do with a piece of an answer.
enum class PieceDecision {
  kDeliver,
  // The caller has it already.
  kSkip,
  // It belongs to an attempt that may not reach the caller.
  kIgnore,
  // A piece is missing before it: the attempt has failed.
  kGap,
};

// What the caller was told in the end.
enum class RequestOutcome { kAnsweredWhole, kNotRun, kUnknown, kBroken };

// The attempts of one request and what the caller may be told. Nobody else
// decides whether a request was run.
class AttemptLog {
 public:
  explicit AttemptLog(AttemptPolicy policy);

  // A new attempt. Earlier ones must have ended, unless the request is
  // repeatable (a hedge). False where none may start: told, too many, or an
  // earlier attempt of a request that may not be repeated may have run.
  bool Start(Time now, const AttemptId& attempt);
  // Right before the first byte: from here on the attempt may have run. False
  // where it must not be written.
  bool MayWrite(Time now, const AttemptId& attempt);
  // A piece with its index; `count` pieces long. The first attempt whose piece
  // is delivered is the only one that reaches the caller from then on.
  PieceDecision OnPiece(const AttemptId& attempt,
                        TokenCount index,
                        TokenCount count);
  // The whole answer arrived. True where it goes to the caller.
  bool OnAnswered(const AttemptId& attempt);
  AttemptDecision OnFailed(Time now,
                           const AttemptId& attempt,
                           const AttemptFailure& failure);
  // The caller's deadline passed, or no endpoint can be had.
  AttemptDecision GiveUp(RefusalKind reason);

  // What the caller was told, once that is decided.
  std::optional<RequestOutcome> outcome() const { return outcome_; }
  // Whether any attempt may have run or may still do so.
  bool may_have_run() const;
  TokenCount delivered() const { return delivered_; }

 private:
  enum class AttemptState { kStarted, kWritten, kNotRun, kFailed, kAnswered };

  static bool Ended(AttemptState state);
  bool AnyRunning() const;
  AttemptDecision Conclude(RefusalKind reason);
  bool MayTryAgain(Time now) const;

  AttemptPolicy policy_;
  std::map<AttemptId, AttemptState> attempts_;
  // The attempt whose pieces reach the caller.
  std::optional<AttemptId> chosen_;
  TokenCount delivered_;
  std::optional<RequestOutcome> outcome_;
};

}  // namespace gcw

#endif  // COORDINATION_REQUESTS_ATTEMPT_LOG_H_
