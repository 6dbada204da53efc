#ifndef CORE_HYBRID_CLOCK_H_
#define CORE_HYBRID_CLOCK_H_

#include "core/clock.h"
#include "core/event.h"
#include "core/result.h"

namespace gcw {

enum class HybridTimeErrorKind {
  // The peer's physical time is ahead of ours by more than the bound.
  kTooFarAhead,
  // The peer's logical counter is negative or so large that no sound peer can
  // have reached it.
  kLogicalOutOfRange,
};

struct HybridTimeError {
  HybridTimeErrorKind kind;
  // How far the peer's physical time is ahead of ours; negative when behind.
  Duration ahead;
};

// Hybrid logical clock (Kulkarni et al. 2014): stays close to physical time,
// never goes back, and orders an effect after its cause across nodes whose
// physical clocks differ.
//
// A peer whose clock is far ahead would drag the time of every node that hears
// of it into the future, and the time line would then tell a false order for as
// long as it takes real time to catch up. One would notice time stamps in the
// future on healthy nodes. So `Observe` refuses such a time and the clock stays
// where it was.
class HybridClock {
 public:
  // Far above the drift of VMs with time synchronisation, which is a few
  // milliseconds.
  static constexpr Duration kDefaultMaxAhead = Duration::Seconds(10);
  static constexpr std::int64_t kMaxLogical = std::int64_t{1} << 32;

  explicit HybridClock(Duration max_ahead = kDefaultMaxAhead);

  // The time of a local event or of a message about to be sent.
  HybridTime Tick(Time now);
  // Takes in the time of a message received and returns the time of its
  // receipt, which is later than both.
  Result<HybridTime, HybridTimeError> Observe(Time now,
                                              const HybridTime& remote);

  const HybridTime& last() const { return last_; }

 private:
  Duration max_ahead_;
  HybridTime last_;
};

}  // namespace gcw

#endif  // CORE_HYBRID_CLOCK_H_
