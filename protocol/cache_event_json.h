#ifndef PROTOCOL_CACHE_EVENT_JSON_H_
#define PROTOCOL_CACHE_EVENT_JSON_H_

#include <string>
#include <string_view>

#include "protocol/codec_error.h"
#include "state/state.h"

namespace gcw {

// The response body of `GET /cache_events`. Blocks are 16 hexadecimal digits.
std::string EncodeCacheEvents(const CacheEventBatch& batch);
Decoded<CacheEventBatch> DecodeCacheEvents(std::string_view text);

}  // namespace gcw

#endif  // PROTOCOL_CACHE_EVENT_JSON_H_
