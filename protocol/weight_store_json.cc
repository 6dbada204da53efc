#include "protocol/weight_store_json.h"

#include "protocol/json_reader.h"
#include "protocol/json_writer.h"

namespace gcw {

std::string EncodeWeightStoreStatus(const WeightStoreStatus& status) {
  return boost::json::serialize(
      boost::json::object{{"bytes_per_second", status.bytes_per_second},
                          {"queue_bytes", status.queue_bytes}});
}

Decoded<WeightStoreStatus> DecodeWeightStoreStatus(std::string_view text) {
  return DecodeJson(text, [](JsonReader& reader) {
    return WeightStoreStatus{
        .bytes_per_second = reader.Count("bytes_per_second"),
        .queue_bytes = reader.Count("queue_bytes")};
  });
}

}  // namespace gcw
