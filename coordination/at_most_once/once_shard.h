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

// What is known of a key's first send.
enum class OnceClaimState {
  // A claim holds the key and has not ended.
  kClaimed,
  // The claim was given back; the next send may run.
  kNotRun,
  kAnswered,
  // The holder ended without knowing whether it ran.
  kMayHaveRun,
};

// One key as the journal holds it. Answers are not journaled.
struct OnceEntry {
  IdempotencyKey key;
  Fingerprint fingerprint;
  OnceClaimId holder;
  OnceClaimState state = OnceClaimState::kClaimed;

  friend bool operator==(const OnceEntry&, const OnceEntry&) = default;
};

struct OnceShardSettings {
  // How long a key is remembered after its last claim, by the clock of the
  // node that holds it. Must be far above the sender's use of a grant
  // (`OnceClientSettings::grant_time_to_live`).
  Duration window = Duration::Seconds(3600);
  // Most bytes that the entries may take in the journal. New keys are refused
  // when it is full; no key is forgotten early.
  std::size_t most_journal_bytes = 262144;
  // Most bytes of answers kept; the oldest go first.
  std::size_t most_answer_bytes = 1048576;
  // Larger answers are not kept.
  std::size_t largest_answer_bytes = 65536;
};

// A claim was recorded, or had been, and may be granted once the record of this
// version is kept where a new owner finds it.
struct OnceRecorded {
  std::int64_t version = 0;
};

using OnceShardDecision = std::variant<OnceRecorded, OnceVerdict>;

// The claims of one shard. Knows nothing of who owns it and where it is kept.
class OnceShard {
 public:
  explicit OnceShard(OnceShardSettings settings);

  OnceShardDecision Claim(Time now, const OnceClaimRequest& request);
  // Records how a claim ended. Reports of claims that do not hold the key
  // change nothing.
  void Finish(Time now, const OnceFinish& finish);
  // Forgets what is older than the window.
  void Tick(Time now);

  // Takes over the entries of a journal. Their ages start anew, since the
  // clock that dated them is not this node's.
  void Load(Time now, const std::vector<OnceEntry>& entries);
  // Claims may have been granted until `last_grant` that the loaded journal
  // does not know. Refuses keys without an entry until the window has passed
  // since, and keys that it says were given back: they may have been claimed
  // again.
  void RefuseUnknownKeys(Time last_grant);
  bool refuses_unknown_keys(Time now) const;

  std::vector<OnceEntry> Entries() const;
  // Grows with each change that belongs into the journal.
  std::int64_t version() const { return version_; }
  std::size_t size() const { return claims_.size(); }
  std::size_t journal_bytes() const { return journal_bytes_; }

 private:
  struct Claimed {
    Fingerprint fingerprint;
    OnceClaimId holder;
    OnceClaimState state = OnceClaimState::kClaimed;
    Time claimed_at;
    Duration runs_at_most;
    // Version at which the holder was recorded.
    std::int64_t version = 0;
    std::optional<OnceAnswer> answer;
  };
  // When to look whether a key can be forgotten.
  struct Expiry {
    Time at;
    IdempotencyKey key;
  };

  OnceShardDecision ClaimNew(Time now, const OnceClaimRequest& request);
  OnceShardDecision ClaimKnown(Time now,
                               const OnceClaimRequest& request,
                               Claimed& claimed);
  OnceRecorded Hold(Time now,
                    const OnceClaimRequest& request,
                    Claimed& claimed);
  void KeepAnswer(const IdempotencyKey& key,
                  Claimed& claimed,
                  const OnceAnswer& answer);
  void RememberReturned(const OnceClaimId& claim);
  void DropOldestAnswer();
  void SkipForgottenAnswers();

  OnceShardSettings settings_;
  std::unordered_map<IdempotencyKey, Claimed> claims_;
  std::deque<Expiry> expiries_;
  std::deque<IdempotencyKey> answered_;
  // Claims given back last.
  std::deque<OnceClaimId> returned_;
  std::size_t journal_bytes_ = 0;
  std::size_t answer_bytes_ = 0;
  std::int64_t version_ = 0;
  std::optional<Time> refuse_unknown_until_;
};

}  // namespace gcw

#endif  // COORDINATION_AT_MOST_ONCE_ONCE_SHARD_H_
