#include <map>
#include <string>
#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "coordination/coordination.h"

namespace gcw {

namespace {

// What really happened at the endpoint of one attempt.
struct Truth {
  bool ran = false;
};

// Ends the attempt in a random way and returns what the transport would report.
AttemptFailure EndRandomly(AttemptLog& log,
                           Time now,
                           const AttemptId& attempt,
                           Truth& truth) {
  const bool written =
      *rc::gen::arbitrary<bool>() && log.MayWrite(now, attempt);
  if (!written) {
    return {AttemptProgress::kNothingSent, false};
  }
  if (*rc::gen::arbitrary<bool>()) {
    return {AttemptProgress::kAnswerBegun, true};
  }
  truth.ran = *rc::gen::arbitrary<bool>();
  return {truth.ran && *rc::gen::arbitrary<bool>()
              ? AttemptProgress::kAnswerBegun
              : AttemptProgress::kMaybeSent,
          false};
}

}  // namespace

// Guards against a "not run" answer to a request that ran, and against a second
// run of a request that may not be repeated. Attempts fail before the write,
// after it and in the middle of the answer, are refused, overlap as hedges and
// report late. The fault is to take one attempt's failure for the request's.
RC_GTEST_PROP(AttemptLogTest, NotRunMeansNotRun, ()) {
  AttemptPolicy policy;
  policy.repeatable = *rc::gen::arbitrary<bool>();
  policy.resumable = *rc::gen::arbitrary<bool>();
  policy.deadline = Time::FromMillis(1000);
  AttemptLog log(policy);
  std::map<AttemptId, Truth> truths;
  std::vector<AttemptId> open;
  for (int step = 0; step < 12; ++step) {
    const Time now = Time() + Duration::Millis(100) * step;
    const AttemptId attempt("a" + std::to_string(step));
    if (*rc::gen::arbitrary<bool>() && log.Start(now, attempt)) {
      open.push_back(attempt);
    }
    if (!open.empty() && *rc::gen::arbitrary<bool>()) {
      const auto index = *rc::gen::inRange<std::size_t>(0, open.size());
      const AttemptFailure failure =
          EndRandomly(log, now, open[index], truths[open[index]]);
      log.OnFailed(now, open[index], failure);
      open.erase(open.begin() + static_cast<std::ptrdiff_t>(index));
    }
    int ran = 0;
    for (const auto& [id, truth] : truths) {
      ran += truth.ran ? 1 : 0;
    }
    RC_ASSERT(policy.repeatable || ran <= 1);
    RC_ASSERT(log.outcome() != RequestOutcome::kNotRun || ran == 0);
    RC_ASSERT(ran == 0 || log.may_have_run());
  }
  log.GiveUp(RefusalKind::kDeadline);
  for (const AttemptId& attempt : open) {
    RC_ASSERT(!log.MayWrite(Time(), attempt));
  }
  RC_ASSERT(log.outcome().has_value());
}

// Guards against a second run: the connection resets after the request was
// written, so the request may have run and must not be retried.
TEST(AttemptLogTest, UnrepeatableIsNotTriedAgainOnceWritten) {
  AttemptPolicy policy;
  policy.repeatable = false;
  policy.deadline = Time::FromMillis(1000);
  AttemptLog log(policy);
  const AttemptId refused("refused");
  const AttemptId reset("reset");
  ASSERT_TRUE(log.Start(Time(), refused));
  EXPECT_FALSE(log.Start(Time(), reset));
  EXPECT_TRUE(std::holds_alternative<AttemptRetry>(
      log.OnFailed(Time(), refused, {AttemptProgress::kNothingSent, false})));
  ASSERT_TRUE(log.Start(Time(), reset));
  ASSERT_TRUE(log.MayWrite(Time(), reset));
  EXPECT_TRUE(std::holds_alternative<TellOutcomeUnknown>(
      log.OnFailed(Time(), reset, {AttemptProgress::kMaybeSent, false})));
  EXPECT_FALSE(log.Start(Time(), AttemptId("third")));
}

// Guards against an answer that mixes two runs, because pieces are matched by
// request instead of by attempt. A stream breaks and is resumed at another
// endpoint, while late pieces of the first attempt and pieces of a hedge
// arrive.
TEST(AttemptLogTest, OnlyOneAttemptReachesTheCaller) {
  AttemptPolicy policy;
  policy.resumable = true;
  policy.deadline = Time::FromMillis(1000);
  AttemptLog log(policy);
  const AttemptId first("first");
  const AttemptId hedge("hedge");
  const AttemptId next("next");
  const auto piece = [&](const AttemptId& attempt, std::int64_t index) {
    return log.OnPiece(attempt, TokenCount(index), TokenCount(1));
  };
  for (const AttemptId& attempt : {first, hedge}) {
    ASSERT_TRUE(log.Start(Time(), attempt));
    ASSERT_TRUE(log.MayWrite(Time(), attempt));
  }
  EXPECT_EQ(piece(first, 0), PieceDecision::kDeliver);
  EXPECT_EQ(piece(hedge, 1), PieceDecision::kIgnore);
  EXPECT_EQ(piece(first, 2), PieceDecision::kGap);
  EXPECT_FALSE(log.OnAnswered(hedge));
  log.OnFailed(Time(), hedge, {AttemptProgress::kMaybeSent, false});
  const AttemptDecision decision =
      log.OnFailed(Time(), first, {AttemptProgress::kAnswerBegun, false});
  ASSERT_TRUE(std::holds_alternative<AttemptRetry>(decision));
  EXPECT_EQ(std::get<AttemptRetry>(decision).resume_from, TokenCount(1));
  ASSERT_TRUE(log.Start(Time(), next));
  ASSERT_TRUE(log.MayWrite(Time(), next));
  EXPECT_EQ(piece(first, 1), PieceDecision::kIgnore);
  EXPECT_EQ(piece(next, 0), PieceDecision::kSkip);
  EXPECT_EQ(piece(next, 1), PieceDecision::kDeliver);
  EXPECT_FALSE(log.OnAnswered(first));
  EXPECT_TRUE(log.OnAnswered(next));
  EXPECT_EQ(log.outcome(), RequestOutcome::kAnsweredWhole);
}

// A stream that cannot be resumed ends as broken, never as complete or not run.
TEST(AttemptLogTest, BrokenStreamIsToldAsBroken) {
  AttemptPolicy policy;
  policy.deadline = Time::FromMillis(1000);
  AttemptLog log(policy);
  const AttemptId attempt("only");
  ASSERT_TRUE(log.Start(Time(), attempt));
  ASSERT_TRUE(log.MayWrite(Time(), attempt));
  log.OnPiece(attempt, TokenCount(0), TokenCount(3));
  const AttemptDecision decision =
      log.OnFailed(Time(), attempt, {AttemptProgress::kAnswerBegun, true});
  EXPECT_TRUE(std::holds_alternative<TellBroken>(decision));
}

}  // namespace gcw
