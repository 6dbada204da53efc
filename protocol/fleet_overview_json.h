#ifndef PROTOCOL_FLEET_OVERVIEW_JSON_H_
#define PROTOCOL_FLEET_OVERVIEW_JSON_H_

#include <string>
#include <string_view>

#include "protocol/codec_error.h"
#include "state/state.h"

namespace gcw {

// The value of the key under which the controller of groups publishes its
// overview of the fleet.
std::string EncodeFleetOverview(const FleetOverview& overview);
Decoded<FleetOverview> DecodeFleetOverview(std::string_view text);

}  // namespace gcw

#endif  // PROTOCOL_FLEET_OVERVIEW_JSON_H_
