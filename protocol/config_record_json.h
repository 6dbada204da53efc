#ifndef PROTOCOL_CONFIG_RECORD_JSON_H_
#define PROTOCOL_CONFIG_RECORD_JSON_H_

#include <string>
#include <string_view>

#include "protocol/codec_error.h"
#include "state/state.h"

namespace gcw {

// The value of a configuration key: a setting's text or a tombstone, with the
// change that wrote it.
std::string EncodeConfigRecord(const ConfigRecord& record);

// Reads the record of a fabric domain too: it is spread to nodes by the same
// means, though a keeper and not an operator writes it. Its text is the value,
// and its change id is the change.
Decoded<ConfigRecord> DecodeConfigRecord(std::string_view text);

}  // namespace gcw

#endif  // PROTOCOL_CONFIG_RECORD_JSON_H_
