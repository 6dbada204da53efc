#ifndef PROTOCOL_ENGINE_ORDER_JSON_H_
#define PROTOCOL_ENGINE_ORDER_JSON_H_

#include <string>
#include <string_view>

#include "protocol/codec_error.h"
#include "state/state.h"

namespace gcw {

// The request body of `POST /orders`.
std::string EncodeEngineOrder(const EngineOrder& order);
Decoded<EngineOrder> DecodeEngineOrder(std::string_view text);

struct EngineOrderReplyMessage {
  int status = 200;
  std::string body;
};

EngineOrderReplyMessage EncodeEngineOrderReply(const EngineOrderReply& reply);
// Returns an error for any status other than 200 and 409. The engine may have
// accepted the order even then.
Decoded<EngineOrderReply> DecodeEngineOrderReply(int status,
                                                 std::string_view body);

}  // namespace gcw

#endif  // PROTOCOL_ENGINE_ORDER_JSON_H_
