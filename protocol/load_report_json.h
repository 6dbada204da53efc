#ifndef PROTOCOL_LOAD_REPORT_JSON_H_
#define PROTOCOL_LOAD_REPORT_JSON_H_

#include <string>
#include <string_view>

#include "protocol/codec_error.h"
#include "state/state.h"

namespace gcw {

// The response body of `GET /load` of model engines and plain services.
std::string EncodeLoadReport(const LoadReport& report);
Decoded<LoadReport> DecodeLoadReport(std::string_view text);

}  // namespace gcw

#endif  // PROTOCOL_LOAD_REPORT_JSON_H_
