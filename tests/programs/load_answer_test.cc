#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "programs/gcw_load/resend_policy.h"
#include "programs/gcw_load/stream_checker.h"

namespace gcw {
namespace {

constexpr std::string_view kPrompt = "user:a question\n";
constexpr std::string_view kOtherPrompt = "user:another question\n";
constexpr int kTokens = 3;

const ExpectedAnswer kExpected{ReferenceAnswer(kPrompt, TokenCount(kTokens)),
                               AttemptId()};

// Returns a token event in an engine's form.
std::string Token(std::string_view prompt, int index) {
  return EncodeChatTokenEvent(
      {AttemptId("attempt"), index, ReferenceToken(prompt, index)});
}

// Returns a token event in a node's form: with the request's id and without an
// index.
std::string NodeToken(int index, const std::string& id) {
  return R"(data: {"id":")" + id +
         R"(","choices":[{"index":0,"delta":{"content":")" +
         ReferenceToken(kPrompt, index) + "\"}}]}\n\n";
}

const std::string kEnd(kChatStreamEnd);
const std::string kError =
    "data: {\"error\":{\"type\":\"answer_broken\",\"message\":\"m\"}}\n\n";

std::string CompleteStream() {
  return Token(kPrompt, 0) + Token(kPrompt, 1) + Token(kPrompt, 2) + kEnd;
}

// Returns "whole", "broken <type>" or the fault's name.
std::string NameOf(const AnswerVerdict& verdict) {
  return std::visit(
      Overloaded{
          [](const CompleteVerdict&) { return std::string("whole"); },
          [](const BrokenVerdict& broken) { return "broken " + broken.type; },
          [](const ViolationVerdict& violation) {
            return std::string(AnswerFaultName(violation.fault));
          }},
      verdict);
}

std::string VerdictOnEnd(const std::string& stream,
                         const ExpectedAnswer& expected = kExpected) {
  StreamChecker checker(expected);
  checker.OnBytes(stream);
  return NameOf(checker.OnEnd());
}

std::string VerdictOnFailure(const std::string& stream) {
  StreamChecker checker(kExpected);
  checker.OnBytes(stream);
  return NameOf(checker.OnFailure("truncated"));
}

TEST(StreamCheckerTest, AcceptsCompleteStreamInAnyChunks) {
  const std::string stream = ": comment\n\n" + CompleteStream();
  for (std::size_t size = 1; size <= stream.size(); ++size) {
    StreamChecker checker(kExpected);
    int tokens = 0;
    for (std::size_t at = 0; at < stream.size(); at += size) {
      tokens += checker.OnBytes(std::string_view(stream).substr(at, size));
    }
    EXPECT_EQ(tokens, kTokens);
    EXPECT_EQ(NameOf(checker.OnEnd()), "whole");
  }
  EXPECT_EQ(VerdictOnEnd(NodeToken(0, "r") + NodeToken(1, "r") +
                         NodeToken(2, "r") + kEnd),
            "whole");
}

TEST(StreamCheckerTest, CutStreamIsBrokenAndNeverComplete) {
  const std::string stream = CompleteStream();
  for (std::size_t size = 0; size < stream.size(); ++size) {
    const std::string part = stream.substr(0, size);
    EXPECT_EQ(VerdictOnFailure(part), "broken truncated");
    // The stream is complete without its last line feed, which ends only the
    // event's empty line.
    if (size < stream.size() - 1) {
      EXPECT_NE(VerdictOnEnd(part), "whole") << size;
    }
  }
  EXPECT_EQ(VerdictOnFailure(Token(kPrompt, 0) + kError),
            "broken answer_broken");
}

TEST(StreamCheckerTest, StreamThatOnlyLooksCompleteIsViolation) {
  const std::string first = Token(kPrompt, 0);
  const std::string second = Token(kPrompt, 1);
  EXPECT_EQ(VerdictOnEnd(""), "done_missing");
  EXPECT_EQ(VerdictOnEnd(first + second + Token(kPrompt, 2)), "done_missing");
  EXPECT_EQ(VerdictOnEnd(first + second + kEnd), "short");
  EXPECT_EQ(VerdictOnEnd(first + kError), "end_after_error");
  EXPECT_EQ(VerdictOnEnd(first + kError + kEnd), "end_after_error");
  EXPECT_EQ(VerdictOnEnd(CompleteStream() + kEnd), "after_done");
  EXPECT_EQ(VerdictOnEnd(CompleteStream() + "d"), "after_done");
  EXPECT_EQ(VerdictOnEnd("data: no JSON\n\n" + CompleteStream()), "malformed");
}

TEST(StreamCheckerTest, ForeignAndMixedStreamsAreViolationsEvenIfCut) {
  const std::string first = Token(kPrompt, 0);
  const std::string second = Token(kPrompt, 1);
  EXPECT_EQ(VerdictOnFailure(Token(kOtherPrompt, 0)), "foreign_text");
  EXPECT_EQ(VerdictOnFailure(first + Token(kOtherPrompt, 1)), "foreign_text");
  EXPECT_EQ(VerdictOnFailure(first + first), "out_of_order");
  EXPECT_EQ(VerdictOnFailure(second), "out_of_order");
  EXPECT_EQ(VerdictOnFailure(NodeToken(0, "r") + NodeToken(0, "r")),
            "out_of_order");
  EXPECT_EQ(VerdictOnFailure(NodeToken(0, "r") + NodeToken(1, "s")),
            "foreign_id");
  EXPECT_EQ(
      VerdictOnEnd(first + second + Token(kPrompt, 2) + Token(kPrompt, 3)),
      "foreign_text");
  ExpectedAnswer of_attempt = kExpected;
  of_attempt.attempt = AttemptId("another");
  EXPECT_EQ(VerdictOnEnd(CompleteStream(), of_attempt), "foreign_id");
}

TEST(StreamCheckerTest, ChecksFormWithoutReference) {
  EXPECT_EQ(VerdictOnEnd(Token(kOtherPrompt, 0) + kEnd, {}), "whole");
  EXPECT_EQ(VerdictOnEnd(Token(kOtherPrompt, 0), {}), "done_missing");
  EXPECT_EQ(VerdictOnEnd(Token(kOtherPrompt, 1) + kEnd, {}), "out_of_order");
}

TEST(WholeAnswerTest, MustBelongToRequest) {
  ChatAnswer answer;
  answer.text = *kExpected.text;
  EXPECT_EQ(NameOf(CheckWholeAnswer(EncodeChatAnswer(answer), kExpected)),
            "whole");
  answer.text = ReferenceAnswer(kPrompt, TokenCount(1));
  EXPECT_EQ(NameOf(CheckWholeAnswer(EncodeChatAnswer(answer), kExpected)),
            "short");
  answer.text = ReferenceAnswer(kOtherPrompt, TokenCount(kTokens));
  EXPECT_EQ(NameOf(CheckWholeAnswer(EncodeChatAnswer(answer), kExpected)),
            "foreign_text");
  EXPECT_EQ(NameOf(CheckWholeAnswer("{}", kExpected)), "malformed");
  EXPECT_EQ(NameOf(CheckServiceAnswer(R"({"key":"k"})", "k", true)), "whole");
  EXPECT_EQ(NameOf(CheckServiceAnswer(R"({"key":"k"})", "l", true)),
            "foreign_text");
}

FailedAnswer Failed(int status, const std::string& body) {
  return ReadFailedAnswer({status, {{"retry-after", "2"}}, body});
}

std::string ErrorOfType(const std::string& type) {
  return R"({"error":{"type":")" + type + R"("}})";
}

TEST(FailedAnswerTest, IsNotRunOnlyIfReported) {
  const FailedAnswer full =
      Failed(429, R"({"error":{"type":"queue_full","retry_after_ms":150}})");
  EXPECT_EQ(full.kind, FailedAnswerKind::kNotRun);
  EXPECT_EQ(full.type, "queue_full");
  EXPECT_EQ(full.retry_after, Duration::Millis(150));
  EXPECT_EQ(Failed(503, ErrorOfType("not_ready")).retry_after,
            Duration::Seconds(2));
  EXPECT_EQ(Failed(502, ErrorOfType("outcome_unknown")).kind,
            FailedAnswerKind::kUnknown);
  EXPECT_EQ(Failed(503, "busy").kind, FailedAnswerKind::kUnknown);
  EXPECT_EQ(Failed(500, ErrorOfType("x")).kind, FailedAnswerKind::kUnknown);
  EXPECT_TRUE(Failed(403, ErrorOfType("service_not_allowed")).permanent);
  EXPECT_FALSE(full.permanent);
}

FailedAnswer SendThat(FailedAnswerKind kind, const std::string& type) {
  FailedAnswer failed;
  failed.kind = kind;
  failed.type = type;
  return failed;
}

TEST(ResendPolicyTest, OneUnknownSendMakesTheKeyUnknown) {
  ResendPolicy policy({.max_resends = 2});
  const auto refused = SendThat(FailedAnswerKind::kNotRun, "no_capacity");
  EXPECT_TRUE(policy.OnFailedSend(refused));
  EXPECT_EQ(policy.outcome(), KeyOutcome::kRefused);
  EXPECT_TRUE(
      policy.OnFailedSend(SendThat(FailedAnswerKind::kUnknown, "silent")));
  EXPECT_FALSE(policy.OnFailedSend(refused));
  EXPECT_EQ(policy.outcome(), KeyOutcome::kUnknown);
}

TEST(ResendPolicyTest, HonoursRetryAfterAndGivesUp) {
  ResendPolicy policy({.max_retry_delay = Duration::Seconds(5)});
  auto failed = SendThat(FailedAnswerKind::kNotRun, "once_in_progress");
  failed.retry_after = Duration::Seconds(3);
  EXPECT_EQ(policy.OnFailedSend(failed), Duration::Seconds(3));
  EXPECT_EQ(policy.outcome(), KeyOutcome::kUnknown);
  failed.retry_after = Duration::Seconds(6);
  EXPECT_EQ(policy.OnFailedSend(failed), std::nullopt);
  ResendPolicy other({});
  failed = SendThat(FailedAnswerKind::kNotRun, "unknown_key");
  failed.permanent = true;
  EXPECT_EQ(other.OnFailedSend(failed), std::nullopt);
}

}  // namespace
}  // namespace gcw
