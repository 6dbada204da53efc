#ifndef PROTOCOL_FINGERPRINT_WIRE_H_
#define PROTOCOL_FINGERPRINT_WIRE_H_

#include "coordination/coordination.h"
#include "protocol/peer.pb.h"
#include "protocol/wire_field_checker.h"

namespace gcw {

// Fingerprint deltas are sent in membership messages and in messages of the
// fingerprint guard.
wire::FingerprintDelta ToWire(const FingerprintDelta& delta);
FingerprintDelta FingerprintFromWire(const wire::FingerprintDelta& in,
                                     WireFieldChecker& checker);

}  // namespace gcw

#endif  // PROTOCOL_FINGERPRINT_WIRE_H_
