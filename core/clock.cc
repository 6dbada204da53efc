#include "core/clock.h"

#include <time.h>

namespace gcw {
namespace {

constexpr std::int64_t kMillisPerSecond = 1000;
constexpr std::int64_t kNanosPerMilli = 1000000;

std::int64_t ReadMillis(clockid_t clock) {
  timespec now{};
  clock_gettime(clock, &now);
  return now.tv_sec * kMillisPerSecond + now.tv_nsec / kNanosPerMilli;
}

}  // namespace

Clock SystemClock() {
  const std::int64_t offset =
      ReadMillis(CLOCK_REALTIME) - ReadMillis(CLOCK_BOOTTIME);
  return [offset] {
    return Time::FromMillis(offset + ReadMillis(CLOCK_BOOTTIME));
  };
}

}  // namespace gcw
