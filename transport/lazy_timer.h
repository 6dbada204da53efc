#ifndef TRANSPORT_LAZY_TIMER_H_
#define TRANSPORT_LAZY_TIMER_H_

#include <chrono>
#include <functional>
#include <memory>
#include <optional>

#include <boost/asio/steady_timer.hpp>

#include "transport/net_types.h"

namespace gcw {

// One deadline that moves often, such as the silence limit of a stream that
// starts anew with each byte. Moving it later costs no timer operation: the
// running timer looks at the deadline when it fires and sleeps on. Used on the
// owner's strand only.
class LazyTimer {
 public:
  explicit LazyTimer(const Strand& strand);

  // `on_expiry` runs on the strand while `owner` lives; it may refer to it.
  void Start(std::weak_ptr<void> owner, std::function<void()> on_expiry);
  void Set(Duration after);
  void Clear();
  // Ends all waiting; the timer is not used again.
  void Stop();

 private:
  using SteadyClock = std::chrono::steady_clock;
  using Timer =
      boost::asio::basic_waitable_timer<SteadyClock,
                                        boost::asio::wait_traits<SteadyClock>,
                                        Strand>;

  void Arm(SteadyClock::time_point when);
  void OnFired();

  Timer timer_;
  std::weak_ptr<void> owner_;
  std::function<void()> on_expiry_;
  std::optional<SteadyClock::time_point> deadline_;
  // When the running wait ends; absent where none runs.
  std::optional<SteadyClock::time_point> armed_;
  // Tells a wait that was replaced from the current one.
  int arm_count_ = 0;
};

}  // namespace gcw

#endif  // TRANSPORT_LAZY_TIMER_H_
