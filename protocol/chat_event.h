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

// `field` names the member at fault; empty where the whole text is.
struct ChatEventError {
  ChatEventErrorKind kind;
  std::string_view field;
};

// One event of an engine's stream, with all that the engine put into it.
struct ChatEvent {
  AttemptId attempt;
  // Position of the token in the answer; absent for events without a token.
  std::optional<std::int64_t> index;
  // Text that the event adds.
  std::string content;
  // Why the answer ends here; empty before its last event.
  std::string finish_reason;
  boost::json::object body;
};

Result<ChatEvent, ChatEventError> ParseChatEvent(std::string_view text);

// The event as a caller gets it: under the request's id and without the
// attempt's.
std::string WriteCallerEvent(ChatEvent event, const RequestId& request);

// The whole answer to a request that was not asked for as a stream.
std::string WriteWholeAnswer(const RequestId& request,
                             const ModelTarget& target,
                             std::string_view content,
                             std::string_view finish_reason,
                             TokenCount prompt_tokens,
                             TokenCount generated_tokens);

// A caller's chat request as it goes to an engine: everything the caller sent,
// but always as a stream, so that progress and resume work for whole answers
// too. `text` is known to be a JSON object.
std::string WriteEngineRequest(std::string_view text);

}  // namespace gcw

#endif  // PROTOCOL_CHAT_EVENT_H_
