#ifndef COORDINATION_AT_MOST_ONCE_ONCE_SHARD_H_
#define COORDINATION_AT_MOST_ONCE_ONCE_SHARD_H_

#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_map>
#include <variant>
#include <vector>

#include "coordination/at_most_once/once_messages.h"

namespace gcw {

// State of a key's latest claim.
enum class OnceClaimState {
  // A claim holds the key and has not ended.
  kClaimed,
  // The claim was given back. The next send may run.
  kNotRun,
  kAnswered,
  // The holder ended, and the request may have run.
  kMayHaveRun,
};

// The journal entry of a key. Answers are not journaled.
struct OnceEntry {
  IdempotencyKey key;
  Fingerprint fingerprint;
  OnceClaimId holder;
  OnceClaimState state = OnceClaimState::kClaimed;

  friend bool operator==(const OnceEntry&, const OnceEntry&) = default;
};

struct OnceShardSettings {
  // Time for which a key is kept after its last claim, by the clock of the node
  // that holds it. Must be far above the time for which the sender may use a
  // grant (`OnceClientSettings::grant_ttl`).
  Duration window = Duration::Seconds(3600);
  // Maximum size of the journal's entries. New keys are refused when it is
  // reached; no key is dropped early.
  std::size_t max_journal_bytes = 262144;
  // Maximum total size of the kept answers. The oldest are evicted first.
  std::size_t answer_cache_bytes = 1048576;
  // Larger answers are not kept.
  std::size_t max_answer_bytes = 65536;
};

// The claim is recorded. It may be granted once a version of the shard that is
// not lower than this one is stored where a new owner finds it.
struct OnceRecorded {
  std::int64_t version = 0;
};

using OnceShardDecision = std::variant<OnceRecorded, OnceVerdict>;

// The claims of one shard, without its ownership and its storage.
class OnceShard {
 public:
  explicit OnceShard(OnceShardSettings settings);

  OnceShardDecision Claim(Time now, const OnceClaimRequest& request);
  // Records how a claim ended. The report of a claim that does not hold the key
  // is ignored.
  void Finish(Time now, const OnceFinish& finish);
  // Drops keys that are older than the window.
  void Tick(Time now);

  // Loads the entries of a journal. Their ages start at zero, because they were
  // dated by another node's clock.
  void Load(Time now, const std::vector<OnceEntry>& entries);
  // Called if claims that are not in the loaded journal may have been granted
  // until `last_grant`. Until one window after it, keys without an entry are
  // refused. Entries that were given back become `kMayHaveRun`, because they
  // may have been claimed again, and so do loaded claims that are given back
  // later.
  void RefuseUnknownKeys(Time last_grant);
  bool refuses_unknown_keys(Time now) const;

  std::vector<OnceEntry> Entries() const;
  // Increases with each change that must be written to the journal.
  std::int64_t version() const { return version_; }
  std::size_t size() const { return claims_.size(); }
  std::size_t journal_bytes() const { return journal_bytes_; }

 private:
  struct ClaimRecord {
    Fingerprint fingerprint;
    OnceClaimId holder;
    OnceClaimState state = OnceClaimState::kClaimed;
    Time claimed_at;
    Duration max_run_duration;
    // If the holder gives the claim back, an earlier owner may have granted the
    // key again.
    bool may_be_granted_elsewhere = false;
    // Version of the shard at which the holder was recorded.
    std::int64_t version = 0;
    std::optional<OnceAnswer> answer;
  };
  // Time at which a key is checked for expiry.
  struct Expiry {
    Time at;
    IdempotencyKey key;
  };

  OnceShardDecision ClaimNew(Time now, const OnceClaimRequest& request);
  OnceShardDecision ClaimKnown(Time now,
                               const OnceClaimRequest& request,
                               ClaimRecord& claimed);
  OnceRecorded RecordHolder(Time now,
                            const OnceClaimRequest& request,
                            ClaimRecord& claimed);
  void CacheAnswer(const IdempotencyKey& key,
                   ClaimRecord& claimed,
                   const OnceAnswer& answer);
  void RememberReturned(const OnceClaimId& claim);
  void DropOldestAnswer();
  void DropEvictedAnswers();

  OnceShardSettings settings_;
  std::unordered_map<IdempotencyKey, ClaimRecord> claims_;
  std::deque<Expiry> expiries_;
  std::deque<IdempotencyKey> answered_;
  // The most recently given back claims.
  std::deque<OnceClaimId> returned_;
  std::size_t journal_bytes_ = 0;
  std::size_t answer_bytes_ = 0;
  std::int64_t version_ = 0;
  std::optional<Time> refuse_unknown_until_;
};

}  // namespace gcw

#endif  // COORDINATION_AT_MOST_ONCE_ONCE_SHARD_H_
