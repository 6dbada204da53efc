#ifndef COORDINATION_ONCE_SHARD_OWNER_H_
#define COORDINATION_ONCE_SHARD_OWNER_H_

#include <functional>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "coordination/once_journal.h"
#include "coordination/once_messages.h"
#include "coordination/once_shard.h"
#include "coordination/store_request.h"

namespace gcw {

struct OnceOwnerSettings {
  std::int64_t shard_count = 64;
  // Least time between two journal writes of a shard. Claims that arrive in
  // between share the next one.
  Duration journal_gap = Duration::Millis(50);
  // A call without a reply counts as unanswered after this time.
  Duration store_timeout = Duration::Seconds(2);
  // Time to wait before asking the service again after it failed.
  Duration store_retry = Duration::Millis(250);
  // An ended claim reaches the journal by then even without new claims.
  Duration finish_delay = Duration::Seconds(1);
  // For how long after the last confirmed write an owner that the service does
  // not answer may grant claims that it cannot journal. Zero: never. See
  // docs/design/0011-at-most-once.md before raising it.
  Duration outage_lease;
  // The service counts as down for a shard once a write is unanswered so long.
  Duration outage_after = Duration::Millis(500);
  // Largest drift of two nodes' clocks over an outage lease.
  Duration margin = Duration::Seconds(1);
  OnceShardSettings shard;
};

// Where a claim came from.
struct OncePendingClaim {
  NodeId from;
  OnceClaimRequest request;
};

// What a shard's owner needs of the node around it.
struct OnceOwnerHooks {
  // Makes a call to the key-value service.
  std::function<StoreCallId(StoreCall)> call_store;
  std::function<void(const OncePendingClaim&, OnceVerdict)> reply;
  std::function<ChangeId()> next_change;
  // Highest revision that this node has heard of.
  std::function<Revision()> seen;
  std::function<void(Revision)> on_revision;
  // Whether this incarnation of the node lives, as far as this node knows.
  std::function<bool(const OnceMember&)> alive;
  // Reports that the service was restored to the past.
  std::function<void(const std::string& key)> on_rewound;
  EventSink events;
};

// Owns one shard, or tries to: takes it over, journals its claims, and answers
// them. Several nodes may believe that they own it; a grant always waits for a
// journal write that only the last one can make.
class OnceShardOwner {
 public:
  OnceShardOwner(OnceShardId id,
                 OnceMember self,
                 const OnceOwnerSettings& settings,
                 const OnceOwnerHooks& hooks);

  void Claim(Time now, const OncePendingClaim& claim);
  void Finish(Time now, const OnceFinish& finish);
  // Returns whether the reply was for this shard.
  bool OnStoreReply(Time now, StoreCallId id, const StoreReply& reply);
  void Tick(Time now);
  // Gives the shard up for good, so that the next owner need not wait.
  void Release(Time now);
  void OnRewound(Time now);

  bool owned() const { return state_ == State::kOwned; }
  // Nothing is owned and no call is out.
  bool idle() const { return state_ == State::kNone && !call_; }
  const OnceShard& shard() const { return shard_; }

 private:
  enum class State {
    kNone,
    // Reads the record to find out who owns the shard.
    kReading,
    // Waits until the last owner can grant no more.
    kWaiting,
    // Writes itself down as the owner.
    kTaking,
    kOwned,
    // Writes itself down as owner no more.
    kReleasing,
  };
  struct Call {
    StoreCallId id;
    Time sent;
    // Version of the shard that the write holds.
    std::int64_t version = 0;
    bool write = false;
  };

  void StartReading(Time now);
  void StartWrite(Time now, bool release);
  void OnRecord(Time now, const StoreRangeReply& reply);
  void Consider(Time now, Revision revision, const OnceJournal& journal);
  void Take(Time now, const OnceJournal& journal, bool may_miss_claims);
  void OnWritten(Time now, Revision revision);
  void OnConflict(Time now, const StoreConflict& conflict);
  void OnNoAnswer(Time now);
  void Lose(Time now);
  void AnswerDurable(Time now);
  void AnswerAll(const OnceVerdict& verdict);
  void Decide(Time now, const OncePendingClaim& claim);
  bool DueForWrite(Time now) const;
  bool MayGrantUnjournaled(Time now) const;
  void GrantUnjournaled(Time now);

  OnceShardId id_;
  std::string key_;
  OnceMember self_;
  const OnceOwnerSettings& settings_;
  const OnceOwnerHooks& hooks_;
  State state_ = State::kNone;
  OnceShard shard_;
  // Revision of the record on which the next write builds.
  Revision base_;
  // Own writes whose fate is open.
  std::set<ChangeId> open_changes_;
  std::optional<Call> call_;
  Time next_call_;
  Time last_write_;
  // When the last write known to be committed was sent.
  Time confirmed_;
  Time dirty_since_;
  std::int64_t durable_version_ = 0;
  bool release_wanted_ = false;
  bool may_miss_claims_ = false;
  // The record under which an owner last wrote, and when it was first seen.
  Revision observed_;
  Time observed_at_;
  // Claims that wait for the takeover or for the journal.
  std::vector<OncePendingClaim> arriving_;
  struct Waiting {
    OncePendingClaim claim;
    std::int64_t version;
  };
  std::vector<Waiting> waiting_;
};

}  // namespace gcw

#endif  // COORDINATION_ONCE_SHARD_OWNER_H_
