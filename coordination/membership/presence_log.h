#ifndef COORDINATION_MEMBERSHIP_PRESENCE_LOG_H_
#define COORDINATION_MEMBERSHIP_PRESENCE_LOG_H_

#include <cstdint>
#include <map>
#include <vector>

#include "coordination/groups/groups_messages.h"
#include "state/state.h"

namespace gcw {

// What this node says of endpoints, with a version for each change, so that a
// report carries only what its receiver has not acknowledged.
class PresenceLog {
 public:
  // Returns whether this differs from what was said before.
  bool Set(const EndpointId& endpoint,
           Generation generation,
           Presence presence);

  // Says that the node no longer speaks of the endpoint. Returns whether it
  // did.
  bool Withdraw(const EndpointId& endpoint);

  // Everything that changed after `base`.
  std::vector<PresenceEntry> ChangesAfter(std::int64_t base) const;

  std::int64_t version() const { return version_; }

 private:
  struct Said {
    PresenceEntry entry;
    std::int64_t changed = 0;
  };

  std::int64_t version_ = 0;
  std::map<EndpointId, Said> said_;
};

}  // namespace gcw

#endif  // COORDINATION_MEMBERSHIP_PRESENCE_LOG_H_
