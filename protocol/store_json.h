#ifndef PROTOCOL_STORE_JSON_H_
#define PROTOCOL_STORE_JSON_H_

#include <string>
#include <string_view>

#include "protocol/codec_error.h"
#include "state/state.h"

namespace gcw {

// The calls and answers of the key-value service as docs/PLATFORM.md gives
// them, for both sides.

struct StoreCallMessage {
  std::string_view path;
  std::string body;
};

struct StoreReplyMessage {
  int status = 200;
  std::string body;
};

StoreCallMessage EncodeStoreCall(const StoreCall& call);
Decoded<StoreCall> DecodeStoreCall(std::string_view path,
                                   std::string_view body);

// The answer to a revoked lease is a `StoreLeaseReply` without time to live.
StoreReplyMessage EncodeStoreReply(const StoreReply& reply);
// Any status that the interface does not know is a `StoreNoAnswer`. A body that
// cannot be read is an error, after which a write may have taken effect too.
Decoded<StoreReply> DecodeStoreReply(const StoreCall& call,
                                     int status,
                                     std::string_view body);

// Whether the call counts against the service's rate of writes.
bool IsStoreWrite(const StoreCall& call);

}  // namespace gcw

#endif  // PROTOCOL_STORE_JSON_H_
