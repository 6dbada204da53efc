#include "protocol/mirror_json.h"

#include "protocol/json_reader.h"
#include "protocol/json_writer.h"

namespace gcw {

std::string EncodeMirrorSnapshot(const MirrorSnapshot& snapshot) {
  boost::json::array entries;
  entries.reserve(snapshot.entries.size());
  for (const StoreEntry& entry : snapshot.entries) {
    entries.push_back(boost::json::object{{"key", entry.key},
                                          {"value", entry.value},
                                          {"revision", ToJson(entry.revision)},
                                          {"lease", ToJson(entry.lease)}});
  }
  return boost::json::serialize(
      boost::json::object{{"revision", ToJson(snapshot.revision)},
                          {"entries", std::move(entries)}});
}

// Values are passed on as they stand in the store: one that is no text must not
// cost a node without its own path to the store all the others.
Decoded<MirrorSnapshot> DecodeMirrorSnapshot(std::string_view text) {
  return DecodeJson(
      text,
      [](JsonReader& reader) {
        MirrorSnapshot snapshot;
        snapshot.revision = reader.CountOf<Revision>("revision");
        snapshot.entries = reader.List("entries", [](JsonReader& item) {
          StoreEntry entry;
          entry.key = item.String("key");
          entry.value = item.String("value");
          entry.revision = item.CountOf<Revision>("revision");
          entry.lease = item.CountOf<LeaseId>("lease");
          return entry;
        });
        return snapshot;
      },
      JsonBytes::kAny);
}

std::string EncodeStandstillNotice(const StandstillNotice& notice) {
  return boost::json::serialize(
      boost::json::object{{"head", ToJson(notice.head)},
                          {"generation", ToJson(notice.generation)}});
}

Decoded<StandstillNotice> DecodeStandstillNotice(std::string_view text) {
  return DecodeJson(text, [](JsonReader& reader) {
    StandstillNotice notice;
    notice.head = reader.TextId<VmId>("head");
    notice.generation = reader.CountOf<Generation>("generation");
    return notice;
  });
}

std::string EncodeProgressAge(Duration age) {
  return boost::json::serialize(boost::json::object{{"age_ms", age.millis()}});
}

Decoded<Duration> DecodeProgressAge(std::string_view text) {
  return DecodeJson(
      text, [](JsonReader& reader) { return reader.DurationMillis("age_ms"); });
}

}  // namespace gcw
