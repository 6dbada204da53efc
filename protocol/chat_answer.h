#ifndef PROTOCOL_CHAT_ANSWER_H_
#define PROTOCOL_CHAT_ANSWER_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "protocol/codec_error.h"
#include "state/state.h"

namespace gcw {

// Last event of a stream that ended properly. A stream without it was cut.
inline constexpr std::string_view kChatStreamEnd = "data: [DONE]\n\n";

// One token of a streamed answer.
struct ChatToken {
  AttemptId attempt;
  // Of the token within the answer, from 0; goes on in a resumed stream.
  std::int64_t index = 0;
  std::string text;

  friend bool operator==(const ChatToken&, const ChatToken&) = default;
};

// A whole answer.
struct ChatAnswer {
  AttemptId attempt;
  ModelId model;
  std::string text;
  TokenCount prompt_tokens;
  TokenCount generated_tokens;

  friend bool operator==(const ChatAnswer&, const ChatAnswer&) = default;
};

// The server-sent event, with its empty line.
std::string EncodeChatTokenEvent(const ChatToken& token);
// Reads what stands after "data: ".
Decoded<ChatToken> DecodeChatToken(std::string_view data);

std::string EncodeChatAnswer(const ChatAnswer& answer);
Decoded<ChatAnswer> DecodeChatAnswer(std::string_view text);

}  // namespace gcw

#endif  // PROTOCOL_CHAT_ANSWER_H_
