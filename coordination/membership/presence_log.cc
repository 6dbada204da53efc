#include "coordination/membership/presence_log.h"

namespace gcw {

bool PresenceLog::Set(const EndpointId& endpoint,
                      Generation generation,
                      Presence presence) {
  const auto it = said_.find(endpoint);
  if (it != said_.end() && !it->second.entry.withdrawn &&
      it->second.entry.generation == generation &&
      it->second.entry.presence == presence) {
    return false;
  }
  ++version_;
  said_[endpoint] = Said{{endpoint, generation, presence, false}, version_};
  return true;
}

bool PresenceLog::Withdraw(const EndpointId& endpoint) {
  const auto it = said_.find(endpoint);
  if (it == said_.end() || it->second.entry.withdrawn) {
    return false;
  }
  ++version_;
  it->second.entry.withdrawn = true;
  it->second.changed = version_;
  return true;
}

std::vector<PresenceEntry> PresenceLog::ChangesAfter(std::int64_t base) const {
  std::vector<PresenceEntry> changes;
  for (const auto& [endpoint, said] : said_) {
    if (said.changed > base) {
      changes.push_back(said.entry);
    }
  }
  return changes;
}

}  // namespace gcw
