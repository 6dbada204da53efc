#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "protocol/protocol.h"
#include "tests/protocol/generators.h"

namespace gcw {
namespace {

ChatMessage AnyMessage() {
  return {.role = AnyText(), .content = AnyText()};
}

RC_GTEST_PROP(ChatTest, RequestsRoundTrip, ()) {
  const ChatRequest request{
      .model = AnyId<ModelId>(),
      .adapter = AnyId<AdapterId>(),
      .messages = AnyList(AnyMessage),
      .max_tokens = TokenCount(1 + AnyCount() % ChatRequest::kMaxMaxTokens),
      .stream = *rc::gen::arbitrary<bool>()};
  const auto decoded = DecodeChatRequest(EncodeChatRequest(request));
  RC_ASSERT(IsOk(decoded));
  RC_ASSERT(ValueOf(decoded) == request);
}

RC_GTEST_PROP(ChatTest, TokensRoundTrip, ()) {
  const ChatToken token{
      .attempt = AnyId<AttemptId>(), .index = AnyCount(), .text = AnyText()};
  const std::string event = EncodeChatTokenEvent(token);
  RC_ASSERT(event.starts_with("data: "));
  // Each event is one line. No text may end it early.
  RC_ASSERT(event.find('\n') == event.size() - 2);
  const auto decoded = DecodeChatToken(event.substr(6));
  RC_ASSERT(IsOk(decoded));
  RC_ASSERT(ValueOf(decoded) == token);
}

TEST(ChatTest, AnswersRoundTrip) {
  const ChatAnswer answer{.attempt = AttemptId("a"),
                          .model = ModelId("m"),
                          .text = "two words",
                          .prompt_tokens = TokenCount(3),
                          .generated_tokens = TokenCount(2)};
  const auto decoded = DecodeChatAnswer(EncodeChatAnswer(answer));
  ASSERT_TRUE(IsOk(decoded));
  EXPECT_EQ(ValueOf(decoded), answer);
}

TEST(ChatTest, RejectsTokenLimitOutOfRange) {
  const auto decoded =
      DecodeChatRequest(R"({"model":"m","messages":[],"max_tokens":0})");
  ASSERT_FALSE(IsOk(decoded));
  EXPECT_EQ(ErrorOf(decoded),
            (CodecError{CodecErrorKind::kOutOfRange, "max_tokens"}));
}

TEST(ChatTest, PrefixBlocksHashTheWholePrefix) {
  const std::string prompt(130, 'x');
  const auto blocks = PrefixBlocks(prompt);
  ASSERT_EQ(blocks.size(), 2U);
  EXPECT_EQ(blocks[0], Xxh3Hash(prompt.substr(0, 64)));
  EXPECT_EQ(blocks[1], Xxh3Hash(prompt.substr(0, 128)));
}

TEST(ChatTest, ReferenceAnswersDifferByPrompt) {
  EXPECT_EQ(ReferenceAnswer("a", TokenCount(2)),
            ReferenceToken("a", 0) + ReferenceToken("a", 1));
  EXPECT_NE(ReferenceToken("a", 1), ReferenceToken("b", 1));
  EXPECT_TRUE(ReferenceToken("a", 1).starts_with(" w1-"));
}

}  // namespace
}  // namespace gcw
