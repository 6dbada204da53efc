#ifndef PROTOCOL_DOMAIN_RECORD_JSON_H_
#define PROTOCOL_DOMAIN_RECORD_JSON_H_

#include <string>
#include <string_view>

#include "protocol/codec_error.h"
#include "state/state.h"

namespace gcw {

// The value stored under a fabric domain's key.
std::string EncodeDomainRecord(const DomainRecord& record);
Decoded<DomainRecord> DecodeDomainRecord(std::string_view text);

}  // namespace gcw

#endif  // PROTOCOL_DOMAIN_RECORD_JSON_H_
