#ifndef COORDINATION_GROUPS_FLAP_TRACKER_H_
#define COORDINATION_GROUPS_FLAP_TRACKER_H_

#include <map>

#include "state/state.h"

namespace gcw {

// Settings of the flap tracker.
struct FlapSettings {
  // After the second loss within `memory`; doubles with each further one.
  Duration first_hold = Duration::Seconds(60);
  Duration longest_hold = Duration::Seconds(3600);
  // A VM that stays up this long starts afresh.
  Duration memory = Duration::Seconds(3600);
};

// Holds VMs that come and go out of groups. A group that takes a flapping VM
// back at each return goes down, and loads weights, at each loss.
class FlapTracker {
 public:
  explicit FlapTracker(FlapSettings settings);

  void OnLost(Time now, const VmId& vm);

  // Whether the VM may not join a group yet.
  bool IsHeldOff(Time now, const VmId& vm) const;

  // Forgets VMs that stayed up.
  void Tick(Time now);

 private:
  struct History {
    int losses = 0;
    Time last_loss;
    Time held_until;
  };

  FlapSettings settings_;
  std::map<VmId, History> histories_;
};

}  // namespace gcw

#endif  // COORDINATION_GROUPS_FLAP_TRACKER_H_
