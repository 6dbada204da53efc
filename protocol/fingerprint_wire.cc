#include "protocol/fingerprint_wire.h"

namespace gcw {

wire::FingerprintDelta ToWire(const FingerprintDelta& delta) {
  wire::FingerprintDelta out;
  out.set_fingerprint(static_cast<std::uint64_t>(delta.fingerprint.value()));
  out.set_blocked(delta.blocked);
  out.set_losses(delta.losses);
  out.set_time_to_live_ms(delta.time_to_live.millis());
  return out;
}

FingerprintDelta FingerprintFromWire(const wire::FingerprintDelta& in,
                                     WireFieldChecker& checker) {
  return FingerprintDelta{
      Fingerprint(static_cast<std::int64_t>(in.fingerprint())), in.blocked(),
      checker.Count(in.losses(), "delta.losses"),
      checker.DurationMillis(in.time_to_live_ms(), "delta.time_to_live_ms")};
}

}  // namespace gcw
