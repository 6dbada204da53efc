#include "protocol/mirror_json.h"

#include "protocol/json_reader.h"
#include "protocol/json_writer.h"

namespace gcw {

namespace {

boost::json::array EncodeEntries(const std::vector<StoreEntry>& entries) {
  boost::json::array encoded;
  encoded.reserve(entries.size());
  for (const StoreEntry& entry : entries) {
    encoded.push_back(boost::json::object{{"key", entry.key},
                                          {"value", entry.value},
                                          {"revision", ToJson(entry.revision)},
                                          {"lease", ToJson(entry.lease)}});
  }
  return encoded;
}

StoreEntry ReadEntry(JsonReader& reader) {
  StoreEntry entry;
  entry.key = reader.String("key");
  entry.value = reader.String("value");
  entry.revision = reader.CountOf<Revision>("revision");
  entry.lease = reader.CountOf<LeaseId>("lease");
  return entry;
}

}  // namespace

std::string EncodeMirrorSnapshot(const MirrorSnapshot& snapshot) {
  return boost::json::serialize(
      boost::json::object{{"revision", ToJson(snapshot.revision)},
                          {"entries", EncodeEntries(snapshot.entries)}});
}

// Invalid UTF-8 is accepted, because values are passed on as they are in the
// store. Otherwise one value that is not text would cost a node that cannot
// reach the store all other entries.
Decoded<MirrorSnapshot> DecodeMirrorSnapshot(std::string_view text) {
  return DecodeJson(
      text,
      [](JsonReader& reader) {
        MirrorSnapshot snapshot;
        snapshot.revision = reader.CountOf<Revision>("revision");
        snapshot.entries = reader.List("entries", ReadEntry);
        return snapshot;
      },
      JsonBytes::kAny);
}

std::string EncodeMirrorChanges(const MirrorChanges& changes) {
  boost::json::array deleted;
  for (const StoreDeletion& deletion : changes.deleted) {
    deleted.push_back(boost::json::object{
        {"key", deletion.key}, {"revision", ToJson(deletion.revision)}});
  }
  return boost::json::serialize(boost::json::object{
      {"revision", ToJson(changes.revision)},
      {"changed", EncodeEntries(changes.changed)},
      {"deleted", std::move(deleted)},
      {"age_ms", changes.age.millis()},
      {"lapse_left_ms", changes.expiry_grace_left.millis()}});
}

Decoded<MirrorChanges> DecodeMirrorChanges(std::string_view text) {
  return DecodeJson(
      text,
      [](JsonReader& reader) {
        MirrorChanges changes;
        changes.revision = reader.CountOf<Revision>("revision");
        changes.changed = reader.List("changed", ReadEntry);
        changes.deleted = reader.List("deleted", [](JsonReader& item) {
          StoreDeletion deletion;
          deletion.key = item.String("key");
          deletion.revision = item.CountOf<Revision>("revision");
          return deletion;
        });
        changes.age = reader.DurationMillis("age_ms");
        changes.expiry_grace_left = reader.DurationMillis("lapse_left_ms");
        return changes;
      },
      JsonBytes::kAny);
}

std::string EncodeStallNotice(const StallNotice& notice) {
  boost::json::object encoded{{"head", ToJson(notice.head)},
                              {"generation", ToJson(notice.generation)}};
  if (notice.is_unreachable) {
    encoded["unreachable"] = true;
  }
  return boost::json::serialize(encoded);
}

Decoded<StallNotice> DecodeStallNotice(std::string_view text) {
  return DecodeJson(text, [](JsonReader& reader) {
    StallNotice notice;
    notice.head = reader.TextId<VmId>("head");
    notice.generation = reader.CountOf<Generation>("generation");
    notice.is_unreachable =
        reader.IsPresent("unreachable") && reader.Bool("unreachable");
    return notice;
  });
}

std::string EncodeLimitNotice(const LimitNotice& notice) {
  boost::json::object encoded{
      {"vm", ToJson(notice.endpoint.vm)},
      {"incarnation", ToJson(notice.endpoint.incarnation)},
      {"zone", ToJson(notice.endpoint.zone)},
      {"age_ms", notice.age.millis()}};
  if (notice.rate) {
    encoded["limit_per_s"] = notice.rate->per_second();
  }
  return boost::json::serialize(encoded);
}

Decoded<LimitNotice> DecodeLimitNotice(std::string_view text) {
  return DecodeJson(text, [](JsonReader& reader) {
    LimitNotice notice;
    notice.endpoint.vm = reader.TextId<VmId>("vm");
    notice.endpoint.incarnation = reader.CountOf<Incarnation>("incarnation");
    notice.endpoint.zone = reader.TextId<ZoneId>("zone");
    notice.age = reader.DurationMillis("age_ms");
    if (reader.IsPresent("limit_per_s")) {
      notice.rate = RequestRate::PerSecond(reader.Number("limit_per_s"));
      if (notice.rate < RequestRate()) {
        reader.Fail(CodecErrorKind::kOutOfRange, "limit_per_s");
      }
    }
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
