#ifndef TRANSPORT_EVICTION_ORDER_H_
#define TRANSPORT_EVICTION_ORDER_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <list>

#include "core/core.h"

namespace gcw {

class HttpServerSession;

// Decides which connection of a server gives way if there is no room for
// others: the one that has made no progress for longest. Clients that stall are
// older than a caller that has just connected or keeps sending. Not
// thread-safe.
class EvictionOrder {
 public:
  // A request that has made no progress for this time may be evicted.
  static constexpr Duration kStallTime = Duration::Seconds(1);

  enum class Standing {
    // Its last response has been sent.
    kLingering,
    // It is idle, and none of its requests was successful.
    kSilent,
    // A part of a request has been received.
    kReading,
    // It is never evicted: its request was accepted, or it is idle between
    // successful requests.
    kProtected,
  };

  struct Entry {
    HttpServerSession* session = nullptr;
    Standing standing = Standing::kProtected;
    Time moved_at;
    // Grows with each move of any connection.
    std::uint64_t number = 0;
  };
  using Handle = std::list<Entry>::iterator;

  Handle Add(HttpServerSession* session, Standing standing, Time now);
  void Remove(Handle handle);
  // Makes the connection the last one of its standing.
  void Move(Handle handle, Standing standing, Time now);

  // Returns the connection to close for a new one, or null, and protects it
  // from a second eviction.
  HttpServerSession* EvictForConnection(Time now);
  // Like the above, for the bytes of a request.
  HttpServerSession* EvictForBytes(Time now);

 private:
  static constexpr std::size_t kStandings = 4;

  std::list<Entry>& ListOf(Standing standing) {
    return lists_.at(static_cast<std::size_t>(standing));
  }
  const std::list<Entry>& ListOf(Standing standing) const {
    return lists_.at(static_cast<std::size_t>(standing));
  }
  bool HasStalled(Time now) const;
  HttpServerSession* EvictOldest(Standing standing);

  std::array<std::list<Entry>, kStandings> lists_;
  std::uint64_t last_number_ = 0;
};

}  // namespace gcw

#endif  // TRANSPORT_EVICTION_ORDER_H_
