#ifndef PROTOCOL_LIMIT_WIRE_H_
#define PROTOCOL_LIMIT_WIRE_H_

#include <optional>

#include "protocol/peer.pb.h"
#include "protocol/peer_message.h"
#include "protocol/wire_faults.h"

namespace gcw {

wire::PeerBody ToWire(const LimitBatch& message);
// Absent where the body holds no message of this kind.
std::optional<LimitBatch> LimitFromWire(const wire::PeerBody& body,
                                        WireFaults& faults);

}  // namespace gcw

#endif  // PROTOCOL_LIMIT_WIRE_H_
