#ifndef PROTOCOL_STORE_JSON_H_
#define PROTOCOL_STORE_JSON_H_

#include <string>
#include <string_view>

#include "protocol/codec_error.h"
#include "state/state.h"

namespace gcw {

// The calls and replies of the key-value service as defined in
// docs/PLATFORM.md, for both client and server.

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

// The reply to the revocation of a lease is a `StoreLeaseReply` whose time to
// live is zero.
StoreReplyMessage EncodeStoreReply(const StoreReply& reply);
// A status that says that the service does not know the call gives a
// `StoreRefused`, and any status that the interface does not define a
// `StoreNoAnswer`. A body that cannot be read is an error; a write may have
// taken effect even then.
Decoded<StoreReply> DecodeStoreReply(const StoreCall& call,
                                     int status,
                                     std::string_view body);

// True if the call counts against the service's limit on the rate of writes.
bool IsStoreWrite(const StoreCall& call);

}  // namespace gcw

#endif  // PROTOCOL_STORE_JSON_H_
