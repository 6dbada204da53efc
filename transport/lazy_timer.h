#ifndef TRANSPORT_LAZY_TIMER_H_
#define TRANSPORT_LAZY_TIMER_H_

#include <chrono>
#include <functional>
#include <memory>
#include <optional>

#include <boost/asio/steady_timer.hpp>

#include "transport/net_types.h"

namespace gcw {

// A deadline that moves often, such as a stream's progress timeout, which
// restarts with each byte. Moving it later costs no timer operation: when the
// running timer fires, it checks the deadline and waits again if needed. Used
// only on the owner's strand.
class LazyTimer {
 public:
  explicit LazyTimer(const Strand& strand);

  // `on_expiry` runs on the strand while `owner` is alive, and may refer to it.
  void Start(std::weak_ptr<void> owner, std::function<void()> on_expiry);
  void Set(Duration timeout);
  void Clear();
  // Cancels all waits. The timer must not be used afterwards.
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
  // When the current wait ends; nullopt if there is none.
  std::optional<SteadyClock::time_point> armed_until_;
  // Identifies the current wait, so that replaced ones are ignored.
  int last_arm_id_ = 0;
};

}  // namespace gcw

#endif  // TRANSPORT_LAZY_TIMER_H_
