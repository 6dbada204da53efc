#include "protocol/request_fingerprint.h"

#include <cstdint>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace gcw {

Fingerprint ComputeFingerprint(std::initializer_list<std::string_view> parts) {
  XXH3_state_t state;
  XXH3_64bits_reset(&state);
  bool is_first = true;
  for (const std::string_view part : parts) {
    if (!is_first) {
      XXH3_64bits_update(&state, "\n", 1);
    }
    is_first = false;
    XXH3_64bits_update(&state, part.data(), part.size());
  }
  return Fingerprint(
      static_cast<std::int64_t>(XXH3_64bits_digest(&state) & kFingerprintMask));
}

}  // namespace gcw
