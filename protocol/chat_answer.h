#ifndef PROTOCOL_CHAT_ANSWER_H_
#define PROTOCOL_CHAT_ANSWER_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "protocol/codec_error.h"
#include "state/state.h"

namespace gcw {

// The last event of a complete stream. A stream that ends without it was cut
// off.
inline constexpr std::string_view kChatStreamEnd = "data: [DONE]\n\n";

// One token of a streamed answer.
struct ChatToken {
  AttemptId attempt;
  // Position of the token in the answer, from 0. A resumed stream continues the
  // count.
  std::int64_t index = 0;
  std::string text;

  friend bool operator==(const ChatToken&, const ChatToken&) = default;
};

// A complete answer that is not streamed.
struct ChatAnswer {
  AttemptId attempt;
  ModelId model;
  std::string text;
  TokenCount prompt_tokens;
  TokenCount generated_tokens;

  friend bool operator==(const ChatAnswer&, const ChatAnswer&) = default;
};

// Returns a server-sent event, including the blank line that ends it.
std::string EncodeChatTokenEvent(const ChatToken& token);
// Decodes the part of an event that follows "data: ".
Decoded<ChatToken> DecodeChatToken(std::string_view data);

std::string EncodeChatAnswer(const ChatAnswer& answer);
Decoded<ChatAnswer> DecodeChatAnswer(std::string_view text);

}  // namespace gcw

#endif  // PROTOCOL_CHAT_ANSWER_H_
