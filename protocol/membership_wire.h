#ifndef PROTOCOL_MEMBERSHIP_WIRE_H_
#define PROTOCOL_MEMBERSHIP_WIRE_H_

#include <optional>

#include "protocol/peer.pb.h"
#include "protocol/peer_message.h"
#include "protocol/wire_faults.h"

namespace gcw {

wire::PeerBody ToWire(const MembershipMessage& message);
// Absent where the body holds no message of this kind.
std::optional<MembershipMessage> MembershipFromWire(const wire::PeerBody& body,
                                                    WireFaults& faults);

}  // namespace gcw

#endif  // PROTOCOL_MEMBERSHIP_WIRE_H_
