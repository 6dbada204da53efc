#include "transport/lazy_timer.h"

#include <utility>

namespace gcw {

LazyTimer::LazyTimer(const Strand& strand) : timer_(strand) {}

void LazyTimer::Start(std::weak_ptr<void> owner,
                      std::function<void()> on_expiry) {
  owner_ = std::move(owner);
  on_expiry_ = std::move(on_expiry);
}

void LazyTimer::Set(Duration after) {
  deadline_ = SteadyClock::now() + ToChrono(after);
  if (!armed_ || *armed_ > *deadline_) {
    Arm(*deadline_);
  }
}

void LazyTimer::Clear() {
  deadline_.reset();
}

void LazyTimer::Stop() {
  deadline_.reset();
  armed_.reset();
  ++arm_count_;
  timer_.cancel();
}

void LazyTimer::Arm(SteadyClock::time_point when) {
  armed_ = when;
  const int arm = ++arm_count_;
  timer_.expires_at(when);
  timer_.async_wait(
      [this, owner = owner_, arm](const boost::system::error_code&) {
        const auto keep = owner.lock();
        // The owner is checked first: if it is gone, this timer is gone too.
        if (!keep || arm != arm_count_) {
          return;
        }
        OnFired();
      });
}

void LazyTimer::OnFired() {
  armed_.reset();
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
