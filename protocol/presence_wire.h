#ifndef PROTOCOL_PRESENCE_WIRE_H_
#define PROTOCOL_PRESENCE_WIRE_H_

#include <optional>

#include "protocol/peer.pb.h"
#include "protocol/peer_message.h"
#include "protocol/wire_field_checker.h"

namespace gcw {

wire::PeerBody ToWire(const PresenceReport& message);
// Returns nullopt if `body` holds another kind of message.
std::optional<PresenceReport> PresenceFromWire(const wire::PeerBody& body,
                                               WireFieldChecker& checker);

}  // namespace gcw

#endif  // PROTOCOL_PRESENCE_WIRE_H_
