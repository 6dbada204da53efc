#ifndef PROGRAMS_GCW_LOAD_STREAM_EVENT_H_
#define PROGRAMS_GCW_LOAD_STREAM_EVENT_H_

#include <optional>
#include <string>
#include <string_view>

#include "protocol/protocol.h"

namespace gcw {

// One event of a streamed answer. Engines give the attempt and the index, nodes
// the request's id.
struct StreamEvent {
  AttemptId attempt;
  RequestId request;
  std::optional<std::int64_t> index;
  // Empty in events that carry only a role or a finish reason.
  std::string text;
};

Decoded<StreamEvent> DecodeStreamEvent(std::string_view data);

}  // namespace gcw

#endif  // PROGRAMS_GCW_LOAD_STREAM_EVENT_H_
