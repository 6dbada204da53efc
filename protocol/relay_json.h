#ifndef PROTOCOL_RELAY_JSON_H_
#define PROTOCOL_RELAY_JSON_H_

#include <string>
#include <string_view>

#include "coordination/coordination.h"
#include "protocol/codec_error.h"

namespace gcw {

// Messages between the nodes of a gateway about requests that they pass on to
// each other.
std::string EncodeReachReport(const ReachReport& report);
Decoded<ReachReport> DecodeReachReport(std::string_view text);
// One line, so that it can be sent as an HTTP header.
std::string EncodeRelayTerms(const RelayTerms& terms);
Decoded<RelayTerms> DecodeRelayTerms(std::string_view text);

}  // namespace gcw

#endif  // PROTOCOL_RELAY_JSON_H_
