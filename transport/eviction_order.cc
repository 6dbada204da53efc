#include "transport/eviction_order.h"

namespace gcw {

EvictionOrder::Handle EvictionOrder::Add(HttpServerSession* session,
                                         Standing standing,
                                         Time now) {
  std::list<Entry>& entries = ListOf(standing);
  return entries.insert(entries.end(),
                        {session, standing, now, ++last_number_});
}

void EvictionOrder::Remove(Handle handle) {
  ListOf(handle->standing).erase(handle);
}

void EvictionOrder::Move(Handle handle, Standing standing, Time now) {
  std::list<Entry>& target = ListOf(standing);
  target.splice(target.end(), ListOf(handle->standing), handle);
  handle->standing = standing;
  handle->moved_at = now;
  handle->number = ++last_number_;
}

HttpServerSession* EvictionOrder::EvictForConnection(Time now) {
  if (!ListOf(Standing::kLingering).empty()) {
    return EvictOldest(Standing::kLingering);
  }
  const std::list<Entry>& silent = ListOf(Standing::kSilent);
  const std::list<Entry>& reading = ListOf(Standing::kReading);
  const bool has_stalled = HasStalled(now);
  if (!silent.empty() &&
      (!has_stalled || silent.front().number < reading.front().number)) {
    return EvictOldest(Standing::kSilent);
  }
  return has_stalled ? EvictOldest(Standing::kReading) : nullptr;
}

HttpServerSession* EvictionOrder::EvictForBytes(Time now) {
  return HasStalled(now) ? EvictOldest(Standing::kReading) : nullptr;
}

bool EvictionOrder::HasStalled(Time now) const {
  const std::list<Entry>& reading = ListOf(Standing::kReading);
  return !reading.empty() && now - reading.front().moved_at >= kStallTime;
}

HttpServerSession* EvictionOrder::EvictOldest(Standing standing) {
  const Handle oldest = ListOf(standing).begin();
  Move(oldest, Standing::kProtected, oldest->moved_at);
  return oldest->session;
}

}  // namespace gcw
