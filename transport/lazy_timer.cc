#include "transport/lazy_timer.h"

#include <utility>

namespace gcw {

LazyTimer::LazyTimer(const Strand& strand) : timer_(strand) {}

void LazyTimer::Start(std::weak_ptr<void> owner,
                      std::function<void()> on_expiry) {
  owner_ = std::move(owner);
  on_expiry_ = std::move(on_expiry);
}

void LazyTimer::Set(Duration timeout) {
  deadline_ = SteadyClock::now() + ToChrono(timeout);
  if (!armed_until_ || *armed_until_ > *deadline_) {
    Arm(*deadline_);
  }
}

void LazyTimer::Clear() {
  deadline_.reset();
}

void LazyTimer::Stop() {
  deadline_.reset();
  armed_until_.reset();
  ++last_arm_id_;
  timer_.cancel();
}

void LazyTimer::Arm(SteadyClock::time_point when) {
  armed_until_ = when;
  const int arm_id = ++last_arm_id_;
  timer_.expires_at(when);
  timer_.async_wait(
      [this, owner = owner_, arm_id](const boost::system::error_code&) {
        const auto locked_owner = owner.lock();
        // The owner is checked first: if it is gone, this timer is gone too.
        if (!locked_owner || arm_id != last_arm_id_) {
          return;
        }
        OnFired();
      });
}

void LazyTimer::OnFired() {
  armed_until_.reset();
  if (!deadline_) {
    return;
  }
  if (SteadyClock::now() < *deadline_) {
    Arm(*deadline_);
    return;
  }
  deadline_.reset();
  on_expiry_();
}

}  // namespace gcw
