#include "protocol/chat_json.h"

#include <utility>

#include <boost/json.hpp>

namespace gcw {
namespace {

namespace json = boost::json;

constexpr std::int64_t kBytesPerToken = 4;

Result<json::object, ChatError> ParseObject(std::string_view text) {
  json::error_code error;
  json::value value = json::parse(text, error);
  if (error) {
    return ChatError{ChatErrorKind::kInvalidJson, ""};
  }
  if (!value.is_object()) {
    return ChatError{ChatErrorKind::kNotAnObject, ""};
  }
  return std::move(value.as_object());
}

std::string FindText(const json::object& object, std::string_view name) {
  const json::value* value = object.if_contains(name);
  if (value == nullptr || !value->is_string()) {
    return "";
  }
  return std::string(value->get_string());
}

ModelTarget ParseTarget(const std::string& name) {
  const std::size_t colon = name.find(':');
  if (colon == std::string::npos) {
    return ModelTarget{ModelId(name), AdapterId()};
  }
  return ModelTarget{ModelId(name.substr(0, colon)),
                     AdapterId(name.substr(colon + 1))};
}

// Appends one message to the prompt; false where it is malformed.
bool AppendMessage(const json::value& message, std::string& prompt) {
  if (!message.is_object()) {
    return false;
  }
  const json::object& object = message.get_object();
  const json::value* content = object.if_contains("content");
  const std::string role = FindText(object, "role");
  if (role.empty() || content == nullptr || !content->is_string()) {
    return false;
  }
  prompt.append(role);
  prompt.push_back('\n');
  prompt.append(std::string_view(content->get_string()));
  prompt.push_back('\n');
  return true;
}

std::optional<ChatError> ReadMessages(ChatRequest& request) {
  const json::value* messages = request.body.if_contains("messages");
  if (messages == nullptr || !messages->is_array() ||
      messages->get_array().empty()) {
    return ChatError{ChatErrorKind::kMessagesMissing, "messages"};
  }
  for (const json::value& message : messages->get_array()) {
    if (!AppendMessage(message, request.prompt)) {
      return ChatError{ChatErrorKind::kMessageMalformed, "messages"};
    }
  }
  return std::nullopt;
}

std::optional<ChatError> ReadOptions(ChatRequest& request) {
  request.max_tokens = kDefaultMaxTokens;
  if (const json::value* limit = request.body.if_contains("max_tokens")) {
    if (!limit->is_int64() || limit->get_int64() < 1 ||
        limit->get_int64() > kLargestMaxTokens.value()) {
      return ChatError{ChatErrorKind::kMaxTokensOutOfRange, "max_tokens"};
    }
    request.max_tokens = TokenCount(limit->get_int64());
  }
  if (const json::value* stream = request.body.if_contains("stream")) {
    if (!stream->is_bool()) {
      return ChatError{ChatErrorKind::kStreamNotBoolean, "stream"};
    }
    request.stream = stream->get_bool();
  }
  return std::nullopt;
}

// Reads the text and the finish reason of the first choice, where there is one.
void ReadFirstChoice(ChatEvent& event) {
  const json::value* choices = event.body.if_contains("choices");
  if (choices == nullptr || !choices->is_array() ||
      choices->get_array().empty() || !choices->get_array()[0].is_object()) {
    return;
  }
  const json::object& choice = choices->get_array()[0].get_object();
  event.finish_reason = FindText(choice, "finish_reason");
  const json::value* delta = choice.if_contains("delta");
  if (delta != nullptr && delta->is_object()) {
    event.content = FindText(delta->get_object(), "content");
  }
}

}  // namespace

std::string_view ChatErrorKindName(ChatErrorKind kind) {
  switch (kind) {
    case ChatErrorKind::kInvalidJson:
      return "invalid_json";
    case ChatErrorKind::kNotAnObject:
      return "not_an_object";
    case ChatErrorKind::kModelMissing:
      return "model_missing";
    case ChatErrorKind::kMessagesMissing:
      return "messages_missing";
    case ChatErrorKind::kMessageMalformed:
      return "message_malformed";
    case ChatErrorKind::kMaxTokensOutOfRange:
      return "max_tokens_out_of_range";
    case ChatErrorKind::kStreamNotBoolean:
      return "stream_not_boolean";
    case ChatErrorKind::kEventMalformed:
      return "event_malformed";
  }
  return "unknown";
}

Result<ChatRequest, ChatError> ParseChatRequest(std::string_view text) {
  Result<json::object, ChatError> parsed = ParseObject(text);
  if (!IsOk(parsed)) {
    return ErrorOf(parsed);
  }
  ChatRequest request;
  request.body = std::move(ValueOf(parsed));
  const std::string model = FindText(request.body, "model");
  if (model.empty()) {
    return ChatError{ChatErrorKind::kModelMissing, "model"};
  }
  request.target = ParseTarget(model);
  if (const std::optional<ChatError> error = ReadMessages(request)) {
    return *error;
  }
  if (const std::optional<ChatError> error = ReadOptions(request)) {
    return *error;
  }
  return request;
}

TokenCount EstimateTokens(std::string_view text) {
  const auto bytes = static_cast<std::int64_t>(text.size());
  return TokenCount((bytes + kBytesPerToken - 1) / kBytesPerToken);
}

Result<ChatEvent, ChatError> ParseChatEvent(std::string_view text) {
  Result<json::object, ChatError> parsed = ParseObject(text);
  if (!IsOk(parsed)) {
    return ErrorOf(parsed);
  }
  ChatEvent event;
  event.body = std::move(ValueOf(parsed));
  event.attempt = AttemptId(FindText(event.body, "attempt"));
  if (event.attempt.empty()) {
    return ChatError{ChatErrorKind::kEventMalformed, "attempt"};
  }
  if (const json::value* index = event.body.if_contains("index")) {
    if (!index->is_int64() || index->get_int64() < 0) {
      return ChatError{ChatErrorKind::kEventMalformed, "index"};
    }
    event.index = index->get_int64();
  }
  ReadFirstChoice(event);
  return event;
}

std::string WriteCallerEvent(ChatEvent event, const RequestId& request) {
  event.body.erase("attempt");
  event.body.erase("index");
  event.body["id"] = request.value();
  return json::serialize(event.body);
}

std::string WriteWholeAnswer(const RequestId& request,
                             const ModelTarget& target,
                             std::string_view content,
                             std::string_view finish_reason,
                             TokenCount prompt_tokens,
                             TokenCount generated_tokens) {
  const json::object message{{"role", "assistant"}, {"content", content}};
  const json::object choice{
      {"index", 0}, {"message", message}, {"finish_reason", finish_reason}};
  const json::object usage{
      {"prompt_tokens", prompt_tokens.value()},
      {"completion_tokens", generated_tokens.value()},
      {"total_tokens", prompt_tokens.value() + generated_tokens.value()}};
  json::array choices;
  choices.emplace_back(choice);
  return json::serialize(json::object{{"id", request.value()},
                                      {"object", "chat.completion"},
                                      {"model", target.model.value()},
                                      {"choices", choices},
                                      {"usage", usage}});
}

std::string WriteError(std::string_view type,
                       std::string_view message,
                       const RequestId& request,
                       Duration retry_after) {
  json::object error{{"type", type}, {"message", message}};
  if (!request.empty()) {
    error["request"] = request.value();
  }
  if (retry_after > Duration()) {
    error["retry_after_ms"] = retry_after.millis();
  }
  return json::serialize(json::object{{"error", error}});
}

}  // namespace gcw
