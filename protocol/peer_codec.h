#ifndef PROTOCOL_PEER_CODEC_H_
#define PROTOCOL_PEER_CODEC_H_

#include <string>
#include <string_view>

#include "protocol/peer_message.h"

// Keeps generated code, which is large, out of the includers.
namespace gcw::wire {
class PeerBody;
class PeerFrame;
}  // namespace gcw::wire

namespace gcw {

wire::PeerBody EncodePeerBody(const PeerMessage& message);
wire::PeerFrame EncodePeerFrame(const PeerEnvelope& envelope);
// Any fault refuses the whole frame, but a body of an unknown kind is only
// counted.
Result<PeerEnvelope, PeerCodecError> DecodePeerFrame(
    const wire::PeerFrame& frame);
// The same from bytes.
Result<PeerEnvelope, PeerCodecError> ParsePeerFrame(std::string_view bytes);

}  // namespace gcw

#endif  // PROTOCOL_PEER_CODEC_H_
