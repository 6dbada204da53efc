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
  // Minimum interval between two journal writes of a shard. Claims that arrive
  // in between are written together. All shards together make at most
  // `shard_count / journal_interval` writes per unit of time.
  Duration journal_interval = Duration::Millis(200);
  // Timeout of a call to the key-value service. It is three times the duration
  // of the last answered call if that is longer, and doubles after each
  // unanswered call up to `max_store_timeout`, so that a slow service is
  // not mistaken for one that loses its answers.
  Duration store_timeout = Duration::Millis(750);
  Duration max_store_timeout = Duration::Seconds(8);
  // Delay before the next call after the service failed.
  Duration store_retry = Duration::Millis(250);
  // Maximum delay until an ended claim is written to the journal, even without
  // new claims.
  Duration max_finish_delay = Duration::Seconds(3);
  // Time after its last confirmed write during which an owner that gets no
  // answer from the service may grant claims that it cannot journal. Zero
  // disables this. See docs/design/0011-at-most-once.md before raising it.
  Duration outage_lease;
  // The service counts as down for a shard once a write has been unanswered for
  // this time.
  Duration outage_threshold = Duration::Millis(500);
  // Time for which a node caches the owner of a shard that it read.
  Duration owner_cache_ttl = Duration::Seconds(1);
  // Maximum drift between two nodes' clocks over a window and an outage lease.
  Duration max_clock_drift = Duration::Seconds(1);
  OnceShardSettings shard;
};

// A claim and the node that sent it.
struct OncePendingClaim {
  NodeId from;
  OnceClaimRequest request;
};

// Callbacks by which a shard's owner uses its node.
struct OnceOwnerHooks {
  // Sends a call to the key-value service.
  std::function<StoreCallId(StoreCall)> call_store;
  std::function<void(const OncePendingClaim&, OnceVerdict)> reply;
  std::function<ChangeId()> next_change;
  // Returns the highest revision that this node knows of.
  std::function<Revision()> seen;
  std::function<void(Revision)> on_revision;
  // Returns whether this incarnation of the node is alive in this node's view.
  std::function<bool(const OnceMember&)> alive;
  // Returns the member that should take over the shard, or an empty one if
  // there is none.
  std::function<OnceMember()> preferred;
  // Reports that the service was restored to an earlier state.
  std::function<void(const std::string& key)> on_rewound;
  EventSink events;
};

// Owns one shard or tries to: takes it over, journals its claims and answers
// them. Several nodes may believe that they own the shard at the same time, so
// a grant waits for a journal write that only the last owner can make (except
// during an outage, under an outage lease).
class OnceShardOwner {
 public:
  OnceShardOwner(OnceShardId id,
                 OnceMember self,
                 const OnceOwnerSettings& settings,
                 OnceOwnerHooks hooks);

  void Claim(Time now, const OncePendingClaim& claim);
  // Returns whether the report was accepted. Only the owner accepts it. Another
  // node redirects the sender to the owner, if known.
  bool Finish(Time now, const NodeId& from, const OnceFinish& finish);
  // Starts to take over the shard if its owner is gone and this node is the
  // preferred successor.
  void StartTakeoverIfNeeded(Time now);
  // Returns whether the reply belongs to a call of this shard.
  bool OnStoreReply(Time now, StoreCallId id, const StoreReply& reply);
  void Tick(Time now);
  // Releases the shard, so that the next owner does not have to wait.
  void Release(Time now);
  // Called after the service was restored to an earlier state. Gives the shard
  // up without a write, and treats the record as incomplete at the next
  // takeover.
  void OnRewound(Time now);

  bool owned() const { return state_ == State::kOwned; }
  // True if the shard is not owned and no call is pending.
  bool idle() const { return state_ == State::kNone && !call_; }
  const OnceShard& shard() const { return shard_; }

 private:
  enum class State {
    kNone,
    // Reads the record to find the shard's owner.
    kReading,
    // Writes this node into the record as the owner.
    kTaking,
    kOwned,
    // Writes a record without an owner.
    kReleasing,
  };
  struct Call {
    StoreCallId id;
    Time sent;
    bool write = false;
    // Version of the shard that the write contains.
    std::int64_t version = 0;
    // Highest revision that this node knew of when it made the call. A reply
    // with a lower revision comes from an earlier state.
    Revision seen;
  };
  // A recorded claim that waits for the journal write.
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
  void ConsiderTakeover(Time now,
                        Revision revision,
                        const OnceJournal& journal);
  void TakeOver(Time now, Revision revision, const OnceJournal& journal);
  void OnWritten(Time now, const Call& call, Revision revision);
  void OnConflict(Time now, const StoreConflict& conflict);
  void OnNoAnswer(Time now, const Call& call, Duration retry_after);
  void ReportRewind(Time now);
  void OnOwnershipLost(Time now, const OnceMember& owner);

  void Decide(Time now, const OncePendingClaim& claim);
  void DecidePending(Time now);
  void GrantUpTo(Time now, std::int64_t version);
  void ReplyToPending(const OnceVerdict& verdict);
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
  // Time before which no call is made.
  Time next_call_;
  Time last_write_;
  // Revision of the record that the next write replaces.
  Revision base_revision_;
  // This node's writes that have not been confirmed.
  std::set<ChangeId> open_changes_;
  // Version of the shard that is known to be stored in the record.
  std::int64_t durable_version_ = 0;
  // Time at which the shard first changed after `durable_version_`.
  std::optional<Time> dirty_since_;
  // Time at which the last confirmed write was sent.
  Time last_confirmed_write_;
  // Time at which the first write since the last confirmed one was sent.
  std::optional<Time> unanswered_since_;
  bool release_wanted_ = false;
  // True if the service was restored to an earlier state, so the record may
  // miss claims.
  bool record_incomplete_ = false;

  // Owner of the shard according to the last read, and the end of the time for
  // which it is cached.
  OnceMember known_owner_;
  Time known_until_;

  // Claims that wait until the shard is taken over.
  std::vector<OncePendingClaim> pending_claims_;
  std::vector<Waiting> waiting_;
};

}  // namespace gcw

#endif  // COORDINATION_AT_MOST_ONCE_ONCE_SHARD_OWNER_H_
