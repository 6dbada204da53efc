#ifndef COORDINATION_MEMBERSHIP_PRESENCE_LOG_H_
#define COORDINATION_MEMBERSHIP_PRESENCE_LOG_H_

#include <cstdint>
#include <map>
#include <vector>

#include "coordination/groups/groups_messages.h"
#include "state/state.h"

namespace gcw {

// What this node reports about endpoints. Each change has a version, so that a
// report carries only what its receiver has not acknowledged.
class PresenceLog {
 public:
  // Returns true if this changes the reported state.
  bool Set(const EndpointId& endpoint,
           Generation generation,
           Presence presence);

  // Stops reporting the endpoint. Returns true if it was reported before.
  bool Withdraw(const EndpointId& endpoint);

  // Returns all entries that changed after version `base`.
  std::vector<PresenceEntry> ChangesAfter(std::int64_t base) const;

  std::int64_t version() const { return version_; }

 private:
  struct LoggedEntry {
    PresenceEntry entry;
    std::int64_t changed_version = 0;
  };

  std::int64_t version_ = 0;
  std::map<EndpointId, LoggedEntry> entries_;
};

}  // namespace gcw

#endif  // COORDINATION_MEMBERSHIP_PRESENCE_LOG_H_
