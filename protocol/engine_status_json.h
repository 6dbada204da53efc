#ifndef PROTOCOL_ENGINE_STATUS_JSON_H_
#define PROTOCOL_ENGINE_STATUS_JSON_H_

#include <string>
#include <string_view>

#include "protocol/codec_error.h"
#include "state/state.h"

namespace gcw {

// The response body of `GET /status`.
std::string EncodeEngineStatus(const EngineStatus& status);
Decoded<EngineStatus> DecodeEngineStatus(std::string_view text);

std::string_view EngineStateName(EngineState state);

}  // namespace gcw

#endif  // PROTOCOL_ENGINE_STATUS_JSON_H_
