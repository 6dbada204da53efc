#include "protocol/config_record_json.h"

#include "protocol/json_reader.h"
#include "protocol/json_writer.h"

namespace gcw {
namespace {

ConfigVersion ReadVersion(JsonReader& reader) {
  return ConfigVersion{reader.TextId<ChangeId>("change"),
                       reader.CountOf<Revision>("revision")};
}

}  // namespace

std::string EncodeConfigRecord(const ConfigRecord& record) {
  boost::json::array history;
  for (const ConfigVersion& version : record.history) {
    history.emplace_back(
        boost::json::object{{"change", ToJson(version.change)},
                            {"revision", ToJson(version.revision)}});
  }
  boost::json::object object{{"change", ToJson(record.change)},
                             {"history", history}};
  if (record.value) {
    object["value"] = *record.value;
  }
  return boost::json::serialize(object);
}

Decoded<ConfigRecord> DecodeConfigRecord(std::string_view text) {
  return DecodeJson(text, [text](JsonReader& reader) {
    ConfigRecord record;
    record.change = reader.TextId<ChangeId>("change");
    if (reader.Has("domain") && reader.Has("groups")) {
      record.value = std::string(text);
      return record;
    }
    if (reader.IsPresent("value")) {
      record.value = reader.String("value");
    }
    record.history = reader.List("history", ReadVersion);
    return record;
  });
}

}  // namespace gcw
