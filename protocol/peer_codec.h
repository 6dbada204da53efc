#ifndef PROTOCOL_PEER_CODEC_H_
#define PROTOCOL_PEER_CODEC_H_

#include <string>
#include <string_view>

#include "protocol/peer_message.h"

// Forward declarations keep the large generated header out of the files that
// include this one.
namespace gcw::wire {
class PeerBody;
class PeerFrame;
}  // namespace gcw::wire

namespace gcw {

wire::PeerBody EncodePeerBody(const PeerMessage& message);
wire::PeerFrame EncodePeerFrame(const PeerEnvelope& envelope);
// Rejects the whole frame on any fault. A body of an unknown kind is no fault:
// it is skipped and counted.
Result<PeerEnvelope, PeerCodecError> DecodePeerFrame(
    const wire::PeerFrame& frame);
// Parses and decodes a serialized frame.
Result<PeerEnvelope, PeerCodecError> ParsePeerFrame(std::string_view bytes);

}  // namespace gcw

#endif  // PROTOCOL_PEER_CODEC_H_
