#ifndef PROTOCOL_LOAD_WIRE_H_
#define PROTOCOL_LOAD_WIRE_H_

#include <optional>

#include "coordination/coordination.h"
#include "protocol/peer.pb.h"
#include "protocol/wire_faults.h"

namespace gcw {

wire::PeerBody ToWire(const LoadDigest& message);
// Absent where the body holds no message of this kind.
std::optional<LoadDigest> LoadFromWire(const wire::PeerBody& body,
                                       WireFaults& faults);

}  // namespace gcw

#endif  // PROTOCOL_LOAD_WIRE_H_
