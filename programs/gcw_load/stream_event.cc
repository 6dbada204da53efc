#include "programs/gcw_load/stream_event.h"

namespace gcw {
namespace {

std::string ReadDelta(JsonReader& delta) {
  return delta.IsPresent("content") ? delta.String("content") : std::string();
}

std::string ReadChoice(JsonReader& choice) {
  return choice.Object("delta", ReadDelta);
}

StreamEvent ReadEvent(JsonReader& reader) {
  StreamEvent event;
  if (reader.IsPresent("attempt")) {
    event.attempt = reader.TextId<AttemptId>("attempt");
  }
  if (reader.IsPresent("id")) {
    event.request = reader.TextId<RequestId>("id");
  }
  if (reader.IsPresent("index")) {
    event.index = reader.Count("index");
  }
  // An event that carries only usage has no choice.
  for (const std::string& text : reader.List("choices", ReadChoice)) {
    event.text += text;
  }
  return event;
}

}  // namespace

Decoded<StreamEvent> DecodeStreamEvent(std::string_view data) {
  return DecodeJson(data, ReadEvent);
}

}  // namespace gcw
