#include "protocol/evacuation_json.h"

#include <utility>

#include <boost/json.hpp>

#include "protocol/json_writer.h"

namespace gcw {

std::string EncodeZoneEvacuations(const std::vector<ZoneEvacuation>& zones) {
  boost::json::array encoded;
  for (const ZoneEvacuation& evacuation : zones) {
    encoded.push_back(
        boost::json::object{{"zone", ToJson(evacuation.zone)},
                            {"revision", ToJson(evacuation.revision)},
                            {"age_ms", evacuation.age.millis()}});
  }
  return boost::json::serialize(
      boost::json::object{{"evacuations", std::move(encoded)}});
}

}  // namespace gcw
