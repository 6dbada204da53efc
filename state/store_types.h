#ifndef STATE_STORE_TYPES_H_
#define STATE_STORE_TYPES_H_

#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "core/core.h"

namespace gcw {

// Names a call to the key-value service until its reply arrives.
using StoreCallId = StrongNumber<struct StoreCallIdTag>;

// Higher than any revision of a key, and still whole as a JSON number. A
// compare-and-swap that expects it changes nothing, and its conflict shows the
// key's present state, which a plain read need not.
inline constexpr Revision kNoRevision((std::int64_t{1} << 53) - 1);

struct StoreEntry {
  std::string key;
  std::string value;
  // Of the last write of this key.
  Revision revision;
  // Zero where the key hangs on no lease.
  LeaseId lease;
};

// Reads all keys that begin with `prefix`, or a page of them.
struct StoreRange {
  std::string prefix;
  // Where it is not empty, only keys behind this one: the next page.
  std::string after = {};
};

// Writes `key` if its revision is `expected`; revision 0 means absent.
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

// Waits for changes of keys below `prefix` after `after`, at most `wait`.
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
  // The service's revision at the read.
  Revision revision;
  std::vector<StoreEntry> entries;
  // There are more keys behind the last one of `entries`.
  bool more = false;
};

// A put or delete that took effect, at this revision.
struct StoreWritten {
  Revision revision;
};

// The key was not at the expected revision; nothing was written.
struct StoreConflict {
  // Absent where the key does not exist.
  std::optional<StoreEntry> current;
};

struct StoreLeaseReply {
  LeaseId lease;
  Duration time_to_live;
};

// The lease has lapsed or never was.
struct StoreLeaseUnknown {};

struct StoreDeletion {
  std::string key;
  Revision revision;
};

struct StoreWatchReply {
  // Watch again after this revision.
  Revision revision;
  std::vector<StoreEntry> changed;
  std::vector<StoreDeletion> deleted;
  // The service no longer holds the changes after the asked revision: read the
  // range again.
  bool compacted = false;
};

// No answer. A write may have taken effect or may still do so.
struct StoreNoAnswer {};

enum class StoreRefusal {
  // Its rate is used up, or it turns this node away.
  kRate,
  // It does not know the call: it is another kind of service.
  kUnknownCall,
};

// A call that the service does not know is no better a moment later.
inline constexpr Duration kUnknownStoreCallWait = Duration::Seconds(5);

// The service refused without acting.
struct StoreBusy {
  Duration retry_after;
  StoreRefusal reason = StoreRefusal::kRate;
};

using StoreReply = std::variant<StoreRangeReply,
                                StoreWritten,
                                StoreConflict,
                                StoreLeaseReply,
                                StoreLeaseUnknown,
                                StoreWatchReply,
                                StoreNoAnswer,
                                StoreBusy>;

}  // namespace gcw

#endif  // STATE_STORE_TYPES_H_
