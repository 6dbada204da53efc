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

// The request body of `POST /v1/chat/completions`.
struct ChatRequest {
  static constexpr std::int64_t kDefaultMaxTokens = 16;
  static constexpr std::int64_t kMaxMaxTokens = 100000;

  ModelId model;
  // Empty if the request names no adapter.
  AdapterId adapter;
  std::vector<ChatMessage> messages;
  // At least 1 and at most `kMaxMaxTokens`.
  TokenCount max_tokens = TokenCount(kDefaultMaxTokens);
  bool stream = false;

  friend bool operator==(const ChatRequest&, const ChatRequest&) = default;
};

std::string EncodeChatRequest(const ChatRequest& request);
Decoded<ChatRequest> DecodeChatRequest(std::string_view text);

// Builds the prompt that prefix blocks are computed from: for each message its
// role, a colon, its content and a line feed.
std::string BuildPrompt(const ChatRequest& request);

// Estimates the length of a prompt: one token per 4 bytes, rounded up.
TokenCount EstimatePromptTokens(std::string_view prompt);

}  // namespace gcw

#endif  // PROTOCOL_CHAT_REQUEST_H_
