#ifndef COORDINATION_GATEWAY_WARMUP_WARM_UP_LIMIT_SETTINGS_H_
#define COORDINATION_GATEWAY_WARMUP_WARM_UP_LIMIT_SETTINGS_H_

#include "core/core.h"

namespace gcw {

struct WarmUpLimitSettings {
  // In any second a cold endpoint may get at most its service's warm-up rate
  // times `overshoot`, plus `slack` requests, from all nodes together.
  double overshoot = 1;
  double slack = 0;
  // Fraction of that number which all nodes use together. The rest covers nodes
  // that are cut off from the others while these have replaced them.
  double usable_fraction = 0.8;
  // A sender's requests are counted over this time, which is longer than a
  // second because requests may arrive closer together than they were sent.
  Duration window = Duration::Millis(1100);
  // A node that joins or leaves the fleet counts as a sender of its endpoints
  // for this long after this node has seen the change, and a node sends to cold
  // endpoints once its own view has listed it for this long. Until then other
  // nodes may not have seen the change.
  Duration takeover_delay = Duration::Seconds(4);
  // A node whose copy of the registrations is older than this cannot tell which
  // endpoints are cold, and treats all of them as cold.
  Duration max_view_age = Duration::Seconds(4);
};

}  // namespace gcw

#endif  // COORDINATION_GATEWAY_WARMUP_WARM_UP_LIMIT_SETTINGS_H_
