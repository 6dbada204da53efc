#include "protocol/cancel_json.h"

#include "protocol/json_reader.h"
#include "protocol/json_writer.h"

namespace gcw {

std::string EncodeCancel(const AttemptId& attempt) {
  return boost::json::serialize(
      boost::json::object{{"attempt", ToJson(attempt)}});
}

Decoded<AttemptId> DecodeCancel(std::string_view text) {
  return DecodeJson(text, [](JsonReader& reader) {
    return reader.TextId<AttemptId>("attempt");
  });
}

std::string EncodeCancelReply(bool cancelled) {
  return boost::json::serialize(boost::json::object{{"cancelled", cancelled}});
}

Decoded<bool> DecodeCancelReply(std::string_view text) {
  return DecodeJson(
      text, [](JsonReader& reader) { return reader.Bool("cancelled"); });
}

}  // namespace gcw
