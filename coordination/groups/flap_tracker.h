#ifndef COORDINATION_GROUPS_FLAP_TRACKER_H_
#define COORDINATION_GROUPS_FLAP_TRACKER_H_

#include <map>

#include "state/state.h"

namespace gcw {

// Settings of `FlapTracker`.
struct FlapSettings {
  // Hold-off after the second loss; it doubles with each further loss.
  Duration initial_hold = Duration::Seconds(60);
  Duration max_hold = Duration::Seconds(3600);
  // A VM's losses are forgotten if it stays up for this long after the last
  // one.
  Duration reset_after = Duration::Seconds(3600);
};

// Keeps flapping VMs out of groups. A group that took a flapping VM back at
// each return would go down, and load its weights again, at each loss.
class FlapTracker {
 public:
  explicit FlapTracker(FlapSettings settings);

  void OnLost(Time now, const VmId& vm);

  // True if the VM may not join a group yet.
  bool IsHeldOff(Time now, const VmId& vm) const;

  // Forgets the losses of VMs that stayed up.
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
