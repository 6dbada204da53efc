#include "coordination/groups/flap_tracker.h"

#include <algorithm>

namespace gcw {

FlapTracker::FlapTracker(FlapSettings settings) : settings_(settings) {}

void FlapTracker::OnLost(Time now, const VmId& vm) {
  History& history = histories_[vm];
  ++history.losses;
  history.last_loss = now;
  if (history.losses < 2) {
    return;
  }
  Duration hold = settings_.initial_hold;
  for (int loss = 2; loss < history.losses && hold < settings_.max_hold;
       ++loss) {
    hold = hold * 2;
  }
  history.held_until = now + std::min(hold, settings_.max_hold);
}

bool FlapTracker::IsHeldOff(Time now, const VmId& vm) const {
  const auto it = histories_.find(vm);
  return it != histories_.end() && now < it->second.held_until;
}

void FlapTracker::Tick(Time now) {
  std::erase_if(histories_, [&](const auto& item) {
    return now >= item.second.held_until &&
           now - item.second.last_loss > settings_.reset_after;
  });
}

}  // namespace gcw
