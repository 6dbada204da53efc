#ifndef PROTOCOL_DESIRED_MODEL_JSON_H_
#define PROTOCOL_DESIRED_MODEL_JSON_H_

#include <optional>
#include <string>
#include <string_view>

#include "protocol/codec_error.h"
#include "state/state.h"

namespace gcw {

// A model that operators want to be served:
//
//   {"model":"notes","vms_per_group":4,"rank":1,
//    "targets":[{"zone":"lj-1","wanted":2,"most":3}]}
std::string EncodeDesiredModel(const DesiredModel& model);

// Rejects an empty model name, groups without VMs, negative numbers, a `most`
// below `wanted`, and a zone that occurs twice.
Decoded<DesiredModel> DecodeDesiredModel(std::string_view text);

}  // namespace gcw

#endif  // PROTOCOL_DESIRED_MODEL_JSON_H_
