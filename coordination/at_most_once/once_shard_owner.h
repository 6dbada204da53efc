#ifndef COORDINATION_AT_MOST_ONCE_ONCE_SHARD_OWNER_H_
#define COORDINATION_AT_MOST_ONCE_ONCE_SHARD_OWNER_H_

#include <functional>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "coordination/actions.h"
#include "coordination/at_most_once/once_journal.h"
#include "coordination/at_most_once/once_messages.h"
#include "coordination/at_most_once/once_shard.h"

namespace gcw {

struct OnceOwnerSettings {
  std::int64_t shard_count = 64;
  // Least time between two journal writes of a shard. Claims that arrive in
  // between share the next one. All shards together write at most
  // `shard_count / journal_gap`.
  Duration journal_gap = Duration::Millis(200);
  // A call without a reply counts as unanswered after this time, or three times
  // what the last answered call took, and twice as long after each unanswered
  // one: a slow service must not be taken for one that loses its answers.
  Duration store_timeout = Duration::Millis(750);
  Duration longest_store_timeout = Duration::Seconds(8);
  // Time to wait before asking the service again after it failed.
  Duration store_retry = Duration::Millis(250);
  // An ended claim reaches the journal by then even without new claims.
  Duration finish_delay = Duration::Seconds(3);
  // For how long after the last confirmed write an owner that the service does
  // not answer may grant claims that it cannot journal. Zero: never. See
  // docs/design/0011-at-most-once.md before raising it.
  Duration outage_lease;
  // The service counts as down for a shard once a write is unanswered so long.
  Duration outage_after = Duration::Millis(500);
  // How long a node believes who owns a shard without reading it again.
  Duration owner_known_for = Duration::Seconds(1);
  // Largest drift of two nodes' clocks over a window and an outage lease.
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
  // The member that should take the shard; empty where there is none.
  std::function<OnceMember()> preferred;
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
                 OnceOwnerHooks hooks);

  void Claim(Time now, const OncePendingClaim& claim);
  // Returns whether the report was taken in. Only the owner takes it; another
  // node says who owns the shard, if it knows.
  bool Finish(Time now, const NodeId& from, const OnceFinish& finish);
  // Takes the shard over if its owner is gone and this node is to follow it.
  void LookAfter(Time now);
  // Returns whether the reply was for this shard.
  bool OnStoreReply(Time now, StoreCallId id, const StoreReply& reply);
  void Tick(Time now);
  // Gives the shard up, so that the next owner need not wait.
  void Release(Time now);
  // The service was restored to the past: gives the shard up unwritten, and
  // distrusts the record when it takes the shard the next time.
  void OnRewound(Time now);

  bool owned() const { return state_ == State::kOwned; }
  // Nothing is owned, asked for or being written.
  bool idle() const { return state_ == State::kNone && !call_; }
  const OnceShard& shard() const { return shard_; }

 private:
  enum class State {
    kNone,
    // Reads the record to find out who owns the shard.
    kReading,
    // Writes itself down as the owner.
    kTaking,
    kOwned,
    // Writes down that nobody owns the shard.
    kReleasing,
  };
  struct Call {
    StoreCallId id;
    Time sent;
    bool write = false;
    // Version of the shard that the write holds.
    std::int64_t version = 0;
    // What this node had heard of when it made the call. An answer below it
    // comes from the past.
    Revision seen;
  };
  // A recorded claim that waits for the journal.
  struct Waiting {
    OncePendingClaim claim;
    std::int64_t version = 0;
  };

  bool KnowsOwner(Time now) const;
  void StartRead(Time now);
  void StartWrite(Time now, State state);
  void WriteIfDue(Time now);
  bool WriteDue(Time now) const;

  void OnRecord(Time now, const Call& call, const StoreRangeReply& reply);
  void Consider(Time now, Revision revision, const OnceJournal& journal);
  void Take(Time now, Revision revision, const OnceJournal& journal);
  void OnWritten(Time now, const Call& call, Revision revision);
  void OnConflict(Time now, const StoreConflict& conflict);
  void OnNoAnswer(Time now, const Call& call, Duration retry_after);
  void Rewound(Time now);
  void Lose(Time now, const OnceMember& owner);

  void Decide(Time now, const OncePendingClaim& claim);
  void DecideArriving(Time now);
  void GrantUpTo(Time now, std::int64_t version);
  void AnswerArriving(const OnceVerdict& verdict);
  bool MayGrantUnjournaled(Time now) const;
  void Report(EventKind kind, std::string_view why);

  std::string key_;
  OnceMember self_;
  const OnceOwnerSettings& settings_;
  OnceOwnerHooks hooks_;
  State state_ = State::kNone;
  OnceShard shard_;

  std::optional<Call> call_;
  Duration timeout_;
  // No call is made before this time.
  Time next_call_;
  Time last_write_;
  // Revision of the record on which the next write builds.
  Revision base_;
  // Own writes whose fate is open.
  std::set<ChangeId> open_changes_;
  // Version of the shard that the record is known to hold.
  std::int64_t durable_version_ = 0;
  // When the shard changed after that.
  std::optional<Time> dirty_since_;
  // When the last write known to be committed was sent.
  Time confirmed_;
  // When the first of the writes since then was sent.
  std::optional<Time> unanswered_since_;
  bool release_wanted_ = false;
  // The service was restored to the past: its record may miss claims.
  bool distrusts_record_ = false;

  // Who owned the shard when the record was read last, and until when that is
  // believed without reading again.
  OnceMember known_owner_;
  Time known_until_;

  // Claims that wait for the takeover.
  std::vector<OncePendingClaim> arriving_;
  std::vector<Waiting> waiting_;
};

}  // namespace gcw

#endif  // COORDINATION_AT_MOST_ONCE_ONCE_SHARD_OWNER_H_
