#ifndef PROTOCOL_CANCEL_JSON_H_
#define PROTOCOL_CANCEL_JSON_H_

#include <string>
#include <string_view>

#include "protocol/codec_error.h"
#include "state/state.h"

namespace gcw {

// The request body of `POST /cancel`.
std::string EncodeCancel(const AttemptId& attempt);
Decoded<AttemptId> DecodeCancel(std::string_view text);

// The response body of `POST /cancel`: true if the engine had the attempt.
std::string EncodeCancelReply(bool cancelled);
Decoded<bool> DecodeCancelReply(std::string_view text);

}  // namespace gcw

#endif  // PROTOCOL_CANCEL_JSON_H_
