#ifndef COORDINATION_AT_MOST_ONCE_ONCE_JOURNAL_H_
#define COORDINATION_AT_MOST_ONCE_ONCE_JOURNAL_H_

#include <string>
#include <string_view>
#include <vector>

#include "coordination/at_most_once/once_placement.h"
#include "coordination/at_most_once/once_shard.h"

namespace gcw {

// What the key-value service holds of one shard: its owner and its claims.
// Both stand in one value, so that the compare-and-swap that makes a new owner
// also makes every later write of the old one fail.
struct OnceJournal {
  // Empty where the last owner released the shard.
  OnceMember owner;
  // Settles whether a write whose answer was lost took effect.
  ChangeId change;
  // For how long after its last write the owner may grant claims that stand in
  // no journal. A new owner distrusts the journal, and counts the window from
  // then.
  Duration outage_lease;
  // Claims may have been granted that stand in no journal: keys without an
  // entry are refused for a window.
  bool may_miss_claims = false;
  std::vector<OnceEntry> entries;

  friend bool operator==(const OnceJournal&, const OnceJournal&) = default;
};

enum class OnceJournalErrorKind { kFormat, kTruncated, kOutOfRange };

struct OnceJournalError {
  OnceJournalErrorKind kind;
  // Byte at which reading stopped.
  std::size_t offset = 0;
};

std::string EncodeOnceJournal(const OnceJournal& journal);
Result<OnceJournal, OnceJournalError> DecodeOnceJournal(std::string_view text);

// Bytes that the entry takes in the journal.
std::size_t OnceEntryBytes(const IdempotencyKey& key,
                           const OnceClaimId& holder);

}  // namespace gcw

#endif  // COORDINATION_AT_MOST_ONCE_ONCE_JOURNAL_H_
