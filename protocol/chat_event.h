#ifndef PROTOCOL_CHAT_EVENT_H_
#define PROTOCOL_CHAT_EVENT_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include <boost/json/object.hpp>

#include "coordination/coordination.h"

namespace gcw {

enum class ChatEventErrorKind { kInvalidJson, kNotAnObject, kFieldMalformed };

// `field` names the invalid member. It is empty if the text as a whole is
// invalid.
struct ChatEventError {
  ChatEventErrorKind kind;
  std::string_view field;
};

// One event of an engine's stream. `body` keeps all fields that the engine
// sent.
struct ChatEvent {
  AttemptId attempt;
  // Position of the token in the answer; unset for events without a token.
  std::optional<std::int64_t> index;
  // Text that the event adds to the answer.
  std::string content;
  // Why the answer ends with this event; empty before the last event.
  std::string finish_reason;
  boost::json::object body;
};

Result<ChatEvent, ChatEventError> ParseChatEvent(std::string_view text);

// Returns the event as it is sent to the caller: with the request's id, and
// without the attempt's id and the index.
std::string WriteCallerEvent(ChatEvent event, const RequestId& request);

// Returns the complete answer to a request that did not ask for a stream.
std::string WriteChatCompletion(const RequestId& request,
                                const ModelTarget& target,
                                std::string_view content,
                                std::string_view finish_reason,
                                TokenCount prompt_tokens,
                                TokenCount generated_tokens);

// Returns a caller's chat request as it is sent to an engine: with all of the
// caller's fields, but always as a stream, so that progress tracking and
// resuming also work for complete answers. `text` must be a JSON object.
std::string WriteEngineRequest(std::string_view text);

}  // namespace gcw

#endif  // PROTOCOL_CHAT_EVENT_H_
