#ifndef PROTOCOL_CHAT_REQUEST_H_
#define PROTOCOL_CHAT_REQUEST_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "protocol/codec_error.h"
#include "state/state.h"

namespace gcw {

struct ChatMessage {
  std::string role;
  std::string content;

  friend bool operator==(const ChatMessage&, const ChatMessage&) = default;
};

// The body of `POST /v1/chat/completions`.
struct ChatRequest {
  static constexpr std::int64_t kDefaultMaxTokens = 16;
  static constexpr std::int64_t kMaxMaxTokens = 100000;

  ModelId model;
  // Empty where none is asked for.
  AdapterId adapter;
  std::vector<ChatMessage> messages;
  // From 1 to `kMaxMaxTokens`.
  TokenCount max_tokens = TokenCount(kDefaultMaxTokens);
  bool stream = false;

  friend bool operator==(const ChatRequest&, const ChatRequest&) = default;
};

std::string EncodeChatRequest(const ChatRequest& request);
Decoded<ChatRequest> DecodeChatRequest(std::string_view text);

// The prompt that prefix blocks are counted over: for each message its role, a
// colon, its content and a line feed.
std::string PromptOf(const ChatRequest& request);

// Estimate of a prompt's length: a token for each 4 bytes, rounded up.
TokenCount PromptTokens(std::string_view prompt);

}  // namespace gcw

#endif  // PROTOCOL_CHAT_REQUEST_H_
