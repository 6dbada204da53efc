#ifndef COORDINATION_GATEWAY_CRASH_SUSPECT_H_
#define COORDINATION_GATEWAY_CRASH_SUSPECT_H_

#include "core/core.h"

namespace gcw {

// What a request has in common with others, and what may crash the endpoints
// that run them: its whole content, or a part of its prompt.
struct CrashSuspect {
  Fingerprint fingerprint;
  // Empty for a whole request.
  PromptPartId part;
  // The request was sent to the endpoint that all nodes choose for this part,
  // because endpoints had crashed under it before.
  bool is_apart = false;

  friend auto operator<=>(const CrashSuspect&, const CrashSuspect&) = default;
};

inline CrashSuspect WholeRequest(Fingerprint fingerprint) {
  CrashSuspect suspect;
  suspect.fingerprint = fingerprint;
  return suspect;
}

}  // namespace gcw

#endif  // COORDINATION_GATEWAY_CRASH_SUSPECT_H_
