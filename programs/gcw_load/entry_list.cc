#include "programs/gcw_load/entry_list.h"

namespace gcw {
namespace {

WeightedEntry ReadEntry(JsonReader& reader) {
  WeightedEntry entry;
  entry.address = reader.TextId<Address>("address");
  entry.weight = reader.Number("weight");
  if (entry.weight < 0) {
    reader.Fail(CodecErrorKind::kOutOfRange, "weight");
  }
  return entry;
}

}  // namespace

Decoded<EntryList> DecodeEntryList(std::string_view text) {
  return DecodeJson(text, [](JsonReader& reader) {
    EntryList list;
    list.entries = reader.List("entries", ReadEntry);
    list.ttl = reader.DurationMillis("keep_ms");
    return list;
  });
}

}  // namespace gcw
