#ifndef CORE_HYBRID_CLOCK_H_
#define CORE_HYBRID_CLOCK_H_

#include "core/clock.h"
#include "core/event.h"
#include "core/result.h"

namespace gcw {

enum class HybridTimeErrorKind {
  // The peer's physical time is ahead of the local time by more than the limit.
  kTooFarAhead,
  // The peer's logical counter is negative or too large for a healthy peer to
  // have reached it.
  kLogicalOutOfRange,
};

struct HybridTimeError {
  HybridTimeErrorKind kind;
  // How far the peer's physical time is ahead of the local time; negative if it
  // is behind.
  Duration ahead;
};

// Hybrid logical clock (Kulkarni et al. 2014): stays close to physical time,
// never goes back, and orders an effect after its cause across nodes whose
// physical clocks differ.
//
// A peer whose clock is far ahead would advance the time of every node that
// receives it, and the timeline would show a wrong order until real time
// catches up. The symptom would be timestamps in the future on healthy nodes.
// So `Observe` rejects such a time and leaves the clock unchanged.
class HybridClock {
 public:
  // Far above the drift of VMs with time synchronization, which is a few
  // milliseconds.
  static constexpr Duration kDefaultMaxAhead = Duration::Seconds(10);
  static constexpr std::int64_t kMaxLogical = std::int64_t{1} << 32;

  explicit HybridClock(Duration max_ahead = kDefaultMaxAhead);

  // Returns the time of a local event or of a message about to be sent.
  HybridTime Tick(Time now);
  // Merges the time of a received message and returns the time of its receipt,
  // which is later than both.
  Result<HybridTime, HybridTimeError> Observe(Time now,
                                              const HybridTime& remote);

  const HybridTime& last() const { return last_; }

 private:
  Duration max_ahead_;
  HybridTime last_;
};

}  // namespace gcw

#endif  // CORE_HYBRID_CLOCK_H_
