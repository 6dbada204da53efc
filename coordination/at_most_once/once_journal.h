#ifndef COORDINATION_AT_MOST_ONCE_ONCE_JOURNAL_H_
#define COORDINATION_AT_MOST_ONCE_ONCE_JOURNAL_H_

#include <string>
#include <string_view>
#include <vector>

#include "coordination/at_most_once/once_placement.h"
#include "coordination/at_most_once/once_shard.h"

namespace gcw {

// The record of one shard in the key-value service: its owner and its claims.
// Both are in one value, so that the compare-and-swap that installs a new owner
// makes every later write of the previous owner fail.
struct OnceJournal {
  // Empty if the last owner released the shard.
  OnceMember owner;
  // Identifies the write. An owner whose write got no answer finds out by it
  // whether the write took effect.
  ChangeId change;
  // Time after its last confirmed write during which the owner may grant claims
  // that are not in the journal. A new owner therefore does not trust the
  // journal to be complete, and starts the window at the end of this lease.
  Duration outage_lease;
  // True if claims may have been granted that are not in the journal. Keys
  // without an entry are then refused for one window.
  bool may_miss_claims = false;
  std::vector<OnceEntry> entries;

  friend bool operator==(const OnceJournal&, const OnceJournal&) = default;
};

enum class OnceJournalErrorKind { kFormat, kTruncated, kOutOfRange };

struct OnceJournalError {
  OnceJournalErrorKind kind;
  // Byte offset at which decoding failed.
  std::size_t offset = 0;
};

std::string EncodeOnceJournal(const OnceJournal& journal);
Result<OnceJournal, OnceJournalError> DecodeOnceJournal(std::string_view text);

// Upper bound of the entry's encoded size in bytes.
std::size_t OnceEntryBytes(const IdempotencyKey& key,
                           const OnceClaimId& holder);

}  // namespace gcw

#endif  // COORDINATION_AT_MOST_ONCE_ONCE_JOURNAL_H_
