#ifndef PROTOCOL_LOAD_WIRE_H_
#define PROTOCOL_LOAD_WIRE_H_

#include <optional>

#include "coordination/coordination.h"
#include "protocol/peer.pb.h"
#include "protocol/wire_field_checker.h"

namespace gcw {

wire::PeerBody ToWire(const LoadDigest& message);
// Returns nullopt if `body` holds another kind of message.
std::optional<LoadDigest> LoadFromWire(const wire::PeerBody& body,
                                       WireFieldChecker& checker);

}  // namespace gcw

#endif  // PROTOCOL_LOAD_WIRE_H_
