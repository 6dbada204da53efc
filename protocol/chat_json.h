#ifndef PROTOCOL_CHAT_JSON_H_
#define PROTOCOL_CHAT_JSON_H_

#include <optional>
#include <string>
#include <string_view>

#include <boost/json/object.hpp>

#include "coordination/coordination.h"

namespace gcw {

enum class ChatErrorKind {
  kInvalidJson,
  kNotAnObject,
  kModelMissing,
  kMessagesMissing,
  kMessageMalformed,
  kMaxTokensOutOfRange,
  kStreamNotBoolean,
  kEventMalformed,
};

// `field` names the member at fault; empty where the whole text is.
struct ChatError {
  ChatErrorKind kind;
  std::string_view field;
};

std::string_view ChatErrorKindName(ChatErrorKind kind);

// A caller's request in the chat completions shape that engines' clients use.
struct ChatRequest {
  // Everything the caller sent; passed on to the engine.
  boost::json::object body;
  ModelTarget target;
  bool stream = false;
  TokenCount max_tokens;
  // All messages' roles and contents, from which prefix blocks are cut.
  std::string prompt;
};

constexpr TokenCount kDefaultMaxTokens{256};
constexpr TokenCount kLargestMaxTokens{131072};

// `model` may name an adapter after a colon: "notes:ljubljana".
Result<ChatRequest, ChatError> ParseChatRequest(std::string_view text);

// Tokens in a text, estimated as one for each four bytes.
TokenCount EstimateTokens(std::string_view text);

// One event of an engine's stream.
struct ChatEvent {
  AttemptId attempt;
  // Position of the token in the answer; absent for events without a token.
  std::optional<std::int64_t> index;
  // Text that the event adds.
  std::string content;
  // Why the answer ends here; empty before its last event.
  std::string finish_reason;
  // The event as the engine sent it.
  boost::json::object body;
};

Result<ChatEvent, ChatError> ParseChatEvent(std::string_view text);

// The event as a caller gets it: under the request's id and without the
// attempt's.
std::string WriteCallerEvent(ChatEvent event, const RequestId& request);

// The whole answer of a request that was not asked for as a stream.
std::string WriteWholeAnswer(const RequestId& request,
                             const ModelTarget& target,
                             std::string_view content,
                             std::string_view finish_reason,
                             TokenCount prompt_tokens,
                             TokenCount generated_tokens);

// `{"error":{"type":..,"message":..,"request":..}}` with, where it is not zero,
// `retry_after_ms`.
std::string WriteError(std::string_view type,
                       std::string_view message,
                       const RequestId& request,
                       Duration retry_after);

}  // namespace gcw

#endif  // PROTOCOL_CHAT_JSON_H_
