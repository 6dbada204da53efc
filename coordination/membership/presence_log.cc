#include "coordination/membership/presence_log.h"

namespace gcw {

bool PresenceLog::Set(const EndpointId& endpoint,
                      Generation generation,
                      Presence presence) {
  const auto it = entries_.find(endpoint);
  if (it != entries_.end() && !it->second.entry.withdrawn &&
      it->second.entry.generation == generation &&
      it->second.entry.presence == presence) {
    return false;
  }
  ++version_;
  entries_[endpoint] =
      LoggedEntry{{endpoint, generation, presence, false}, version_};
  return true;
}

bool PresenceLog::Withdraw(const EndpointId& endpoint) {
  const auto it = entries_.find(endpoint);
  if (it == entries_.end() || it->second.entry.withdrawn) {
    return false;
  }
  ++version_;
  it->second.entry.withdrawn = true;
  it->second.changed_version = version_;
  return true;
}

std::vector<PresenceEntry> PresenceLog::ChangesAfter(std::int64_t base) const {
  std::vector<PresenceEntry> changes;
  for (const auto& [endpoint, logged] : entries_) {
    if (logged.changed_version > base) {
      changes.push_back(logged.entry);
    }
  }
  return changes;
}

}  // namespace gcw
