#ifndef PROTOCOL_CONFIG_RECORD_JSON_H_
#define PROTOCOL_CONFIG_RECORD_JSON_H_

#include <string>
#include <string_view>

#include "protocol/codec_error.h"
#include "state/state.h"

namespace gcw {

// The value stored under a configuration key: the text of a setting or a
// tombstone, with the change that wrote it.
std::string EncodeConfigRecord(const ConfigRecord& record);

// Also decodes the record of a fabric domain, which reaches nodes in the same
// way although a controller writes it and not an operator. Its whole text
// becomes the value, and its change id becomes the change.
Decoded<ConfigRecord> DecodeConfigRecord(std::string_view text);

}  // namespace gcw

#endif  // PROTOCOL_CONFIG_RECORD_JSON_H_
