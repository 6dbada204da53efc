#include "protocol/chat_request.h"

#include "protocol/json_reader.h"
#include "protocol/json_writer.h"

namespace gcw {
namespace {

constexpr std::size_t kBytesPerToken = 4;

ChatMessage ReadMessage(JsonReader& reader) {
  return {.role = reader.String("role"), .content = reader.String("content")};
}

TokenCount ReadMaxTokens(JsonReader& reader) {
  if (!reader.IsPresent("max_tokens")) {
    return TokenCount(ChatRequest::kDefaultMaxTokens);
  }
  const std::int64_t tokens = reader.Integer("max_tokens");
  if (tokens < 1 || tokens > ChatRequest::kMaxMaxTokens) {
    reader.Fail(CodecErrorKind::kOutOfRange, "max_tokens");
  }
  return TokenCount(tokens);
}

ChatRequest ReadChatRequest(JsonReader& reader) {
  ChatRequest request;
  request.model = reader.TextId<ModelId>("model");
  if (reader.IsPresent("adapter")) {
    request.adapter = reader.TextId<AdapterId>("adapter");
  }
  request.messages = reader.List("messages", ReadMessage);
  request.max_tokens = ReadMaxTokens(reader);
  if (reader.IsPresent("stream")) {
    request.stream = reader.Bool("stream");
  }
  return request;
}

}  // namespace

std::string EncodeChatRequest(const ChatRequest& request) {
  boost::json::array messages;
  for (const ChatMessage& message : request.messages) {
    messages.push_back(boost::json::object{{"role", message.role},
                                           {"content", message.content}});
  }
  boost::json::object object{{"model", ToJson(request.model)},
                             {"messages", std::move(messages)},
                             {"max_tokens", ToJson(request.max_tokens)},
                             {"stream", request.stream}};
  if (!request.adapter.empty()) {
    object["adapter"] = ToJson(request.adapter);
  }
  return boost::json::serialize(object);
}

Decoded<ChatRequest> DecodeChatRequest(std::string_view text) {
  return DecodeJson(text, ReadChatRequest);
}

std::string BuildPrompt(const ChatRequest& request) {
  std::string prompt;
  for (const ChatMessage& message : request.messages) {
    prompt += message.role;
    prompt += ':';
    prompt += message.content;
    prompt += '\n';
  }
  return prompt;
}

TokenCount EstimatePromptTokens(std::string_view prompt) {
  const std::size_t tokens =
      (prompt.size() + kBytesPerToken - 1) / kBytesPerToken;
  return TokenCount(static_cast<std::int64_t>(tokens));
}

}  // namespace gcw
