#ifndef PROTOCOL_WEIGHT_STORE_JSON_H_
#define PROTOCOL_WEIGHT_STORE_JSON_H_

#include <string>
#include <string_view>

#include "protocol/codec_error.h"
#include "state/state.h"

namespace gcw {

// The response body of `GET /weights`.
std::string EncodeWeightStoreStatus(const WeightStoreStatus& status);
Decoded<WeightStoreStatus> DecodeWeightStoreStatus(std::string_view text);

}  // namespace gcw

#endif  // PROTOCOL_WEIGHT_STORE_JSON_H_
