#ifndef STATE_STORE_TYPES_H_
#define STATE_STORE_TYPES_H_

#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "core/core.h"

namespace gcw {

// Identifies a call to the key-value service until its reply arrives.
using StoreCallId = StrongNumber<struct StoreCallIdTag>;

// Higher than any revision of a key, yet exactly representable as a JSON
// number. A compare-and-swap that expects it changes nothing, and its conflict
// returns the key's latest state, which a plain read need not do.
inline constexpr Revision kImpossibleRevision((std::int64_t{1} << 53) - 1);

struct StoreEntry {
  std::string key;
  std::string value;
  // Revision of the last write of this key.
  Revision revision;
  // Zero if the key is not attached to a lease.
  LeaseId lease;
};

// Reads all keys that begin with `prefix`, or one page of them.
struct StoreRange {
  std::string prefix;
  // If not empty, reads only the keys after this one: the next page.
  std::string after = {};
};

// Writes `key` if its revision is `expected`; revision 0 means that the key
// does not exist.
struct StorePut {
  std::string key;
  std::string value;
  Revision expected;
  // Zero for a key that outlives its writer.
  LeaseId lease;
};

// Deletes `key` if its revision is `expected`.
struct StoreDelete {
  std::string key;
  Revision expected;
};

struct StoreLeaseGrant {
  Duration time_to_live;
};

struct StoreLeaseKeepAlive {
  LeaseId lease;
};

struct StoreLeaseRevoke {
  LeaseId lease;
};

// Waits at most `wait` for changes of keys below `prefix` that come after the
// revision `after`.
struct StoreWatch {
  std::string prefix;
  Revision after;
  Duration wait;
};

using StoreCall = std::variant<StoreRange,
                               StorePut,
                               StoreDelete,
                               StoreLeaseGrant,
                               StoreLeaseKeepAlive,
                               StoreLeaseRevoke,
                               StoreWatch>;

struct StoreRangeReply {
  // Revision of the service at the time of the read.
  Revision revision;
  std::vector<StoreEntry> entries;
  // More keys follow the last one of `entries`.
  bool more = false;
};

// The put or delete took effect at this revision.
struct StoreWritten {
  Revision revision;
};

// The key did not have the expected revision; nothing was written.
struct StoreConflict {
  // Absent if the key does not exist.
  std::optional<StoreEntry> current;
};

struct StoreLeaseReply {
  LeaseId lease;
  Duration time_to_live;
};

// The lease has expired or never existed.
struct StoreLeaseUnknown {};

struct StoreDeletion {
  std::string key;
  Revision revision;
};

struct StoreWatchReply {
  // Revision after which the next watch continues.
  Revision revision;
  std::vector<StoreEntry> changed;
  std::vector<StoreDeletion> deleted;
  // The service no longer holds the changes after the requested revision: the
  // range must be read again.
  bool compacted = false;
};

// No reply arrived. A write may have taken effect or may still do so.
struct StoreNoAnswer {};

enum class StoreRefusal {
  // The rate limit is exceeded, or the service rejects this node.
  kRateLimited,
  // The service does not know the call: it is another kind of service.
  kUnknownCall,
};

// Retry delay after an unknown call, which would fail again if it were repeated
// immediately.
inline constexpr Duration kUnknownStoreCallRetryDelay = Duration::Seconds(5);

// The service refused the call and did not execute it.
struct StoreRefused {
  Duration retry_after;
  StoreRefusal reason = StoreRefusal::kRateLimited;
};

using StoreReply = std::variant<StoreRangeReply,
                                StoreWritten,
                                StoreConflict,
                                StoreLeaseReply,
                                StoreLeaseUnknown,
                                StoreWatchReply,
                                StoreNoAnswer,
                                StoreRefused>;

}  // namespace gcw

#endif  // STATE_STORE_TYPES_H_
