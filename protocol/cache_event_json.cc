#include "protocol/cache_event_json.h"

#include "protocol/hex.h"
#include "protocol/json_reader.h"
#include "protocol/json_writer.h"

namespace gcw {
namespace {

constexpr ChoiceNames<CacheEventKind, 2> kKinds{{
    {CacheEventKind::kStored, "stored"},
    {CacheEventKind::kEvicted, "evicted"},
}};

std::uint64_t ReadBlock(JsonReader& reader) {
  const std::optional<std::uint64_t> block = ParseHex(reader.String("block"));
  if (!block) {
    reader.Fail(CodecErrorKind::kOutOfRange, "block");
    return 0;
  }
  return *block;
}

CacheEvent ReadEvent(JsonReader& reader) {
  CacheEvent event;
  event.sequence = reader.Count("sequence");
  event.kind = reader.Enum("kind", kKinds);
  event.block = ReadBlock(reader);
  return event;
}

}  // namespace

std::string EncodeCacheEvents(const CacheEventBatch& batch) {
  boost::json::array events;
  for (const CacheEvent& event : batch.events) {
    events.push_back(
        boost::json::object{{"sequence", event.sequence},
                            {"kind", ChoiceToJson(event.kind, kKinds)},
                            {"block", ToHex(event.block)}});
  }
  return boost::json::serialize(
      boost::json::object{{"first", batch.first},
                          {"next", batch.next},
                          {"events", std::move(events)}});
}

Decoded<CacheEventBatch> DecodeCacheEvents(std::string_view text) {
  return DecodeJson(text, [](JsonReader& reader) {
    CacheEventBatch batch;
    batch.first = reader.Count("first");
    batch.next = reader.Count("next");
    batch.events = reader.List("events", ReadEvent);
    return batch;
  });
}

}  // namespace gcw
