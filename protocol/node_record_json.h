#ifndef PROTOCOL_NODE_RECORD_JSON_H_
#define PROTOCOL_NODE_RECORD_JSON_H_

#include <string>
#include <string_view>

#include "protocol/codec_error.h"
#include "state/state.h"

namespace gcw {

// The value stored under a node's key.
std::string EncodeNodeRecord(const NodeRecord& record);
Decoded<NodeRecord> DecodeNodeRecord(std::string_view text);

}  // namespace gcw

#endif  // PROTOCOL_NODE_RECORD_JSON_H_
