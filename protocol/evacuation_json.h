#ifndef PROTOCOL_EVACUATION_JSON_H_
#define PROTOCOL_EVACUATION_JSON_H_

#include <string>
#include <vector>

#include "coordination/coordination.h"

namespace gcw {

// The evacuated data centres, for operators.
std::string EncodeZoneEvacuations(const std::vector<ZoneEvacuation>& zones);

}  // namespace gcw

#endif  // PROTOCOL_EVACUATION_JSON_H_
