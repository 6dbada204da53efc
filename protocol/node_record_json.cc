#include "protocol/node_record_json.h"

#include "protocol/json_reader.h"
#include "protocol/json_writer.h"

namespace gcw {

std::string EncodeNodeRecord(const NodeRecord& record) {
  return boost::json::serialize(
      boost::json::object{{"id", ToJson(record.id)},
                          {"caller_address", ToJson(record.caller_address)},
                          {"peer_address", ToJson(record.peer_address)},
                          {"operator_address", ToJson(record.operator_address)},
                          {"zone", ToJson(record.zone)},
                          {"region", ToJson(record.region)},
                          {"weight", record.weight},
                          {"leaving", record.leaving}});
}

Decoded<NodeRecord> DecodeNodeRecord(std::string_view text) {
  return DecodeJson(text, [](JsonReader& reader) {
    NodeRecord record;
    record.id = reader.TextId<NodeId>("id");
    record.caller_address = reader.TextId<Address>("caller_address");
    record.peer_address = reader.TextId<Address>("peer_address");
    record.operator_address = reader.TextId<Address>("operator_address");
    record.zone = reader.TextId<ZoneId>("zone");
    record.region = reader.TextId<RegionId>("region");
    record.weight = reader.Count("weight");
    record.leaving = reader.Bool("leaving");
    return record;
  });
}

}  // namespace gcw
