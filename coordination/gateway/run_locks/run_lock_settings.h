#ifndef COORDINATION_GATEWAY_RUN_LOCKS_RUN_LOCK_SETTINGS_H_
#define COORDINATION_GATEWAY_RUN_LOCKS_RUN_LOCK_SETTINGS_H_

#include <cstddef>

#include "core/core.h"

namespace gcw {

struct RunLockSettings {
  // A copy that has waited this long runs without the lock, so that no sound
  // request is refused for want of it. Longer than a sound stream takes to show
  // that it crashes nothing.
  Duration max_wait = Duration::Millis(1050);
  // A lock whose holder does not release it is free after this time.
  Duration ttl = Duration::Seconds(10);
  // Bounds the memory of an owner. Further claims are granted without a lock.
  std::size_t max_locks = 16384;
  // Number of harmless requests that a node remembers.
  std::size_t max_harmless = 16384;
};

}  // namespace gcw

#endif  // COORDINATION_GATEWAY_RUN_LOCKS_RUN_LOCK_SETTINGS_H_
