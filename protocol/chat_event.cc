#include "protocol/chat_event.h"

#include <utility>

#include <boost/json.hpp>

namespace gcw {
namespace {

namespace json = boost::json;

std::string FindString(const json::object& object, std::string_view name) {
  const json::value* value = object.if_contains(name);
  if (value == nullptr || !value->is_string()) {
    return "";
  }
  return std::string(value->get_string());
}

// Reads the text and the finish reason of the first choice, if there is one.
void ReadFirstChoice(ChatEvent& event) {
  const json::value* choices = event.body.if_contains("choices");
  if (choices == nullptr || !choices->is_array() ||
      choices->get_array().empty() || !choices->get_array()[0].is_object()) {
    return;
  }
  const json::object& choice = choices->get_array()[0].get_object();
  event.finish_reason = FindString(choice, "finish_reason");
  const json::value* delta = choice.if_contains("delta");
  if (delta != nullptr && delta->is_object()) {
    event.content = FindString(delta->get_object(), "content");
  }
}

}  // namespace

Result<ChatEvent, ChatEventError> ParseChatEvent(std::string_view text) {
  json::error_code error;
  json::value value = json::parse(text, error);
  if (error) {
    return ChatEventError{ChatEventErrorKind::kInvalidJson, ""};
  }
  if (!value.is_object()) {
    return ChatEventError{ChatEventErrorKind::kNotAnObject, ""};
  }
  ChatEvent event;
  event.body = std::move(value.as_object());
  event.attempt = AttemptId(FindString(event.body, "attempt"));
  if (event.attempt.empty()) {
    return ChatEventError{ChatEventErrorKind::kFieldMalformed, "attempt"};
  }
  if (const json::value* index = event.body.if_contains("index")) {
    if (!index->is_int64() || index->get_int64() < 0) {
      return ChatEventError{ChatEventErrorKind::kFieldMalformed, "index"};
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

std::string WriteChatCompletion(const RequestId& request,
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

std::string WriteEngineRequest(std::string_view text) {
  json::object body = json::parse(text).as_object();
  body["stream"] = true;
  return json::serialize(body);
}

}  // namespace gcw
