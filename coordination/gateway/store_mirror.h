#ifndef COORDINATION_GATEWAY_STORE_MIRROR_H_
#define COORDINATION_GATEWAY_STORE_MIRROR_H_

#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "coordination/actions.h"
#include "coordination/backoff.h"
#include "coordination/gateway/change_feed.h"
#include "state/state.h"

namespace gcw {

// All keys that a mirror holds as of a revision.
struct MirrorSnapshot {
  Revision revision;
  std::vector<StoreEntry> entries;
};

struct StoreMirrorSettings {
  // Prefixes of the keys that are read completely at the start and after the
  // service has compacted the history.
  std::vector<std::string> prefixes;
  // Prefix of keys that a starting node reads before all others; empty if there
  // are none.
  std::string first_prefix;
  // A key that only starting nodes need. It is not passed on to followers.
  std::string local_only_key;
  // A prefix that covers all of the above, so that one watch is enough instead
  // of one for each prefix.
  std::string watch_prefix;
  // Prefixes of keys that their owner may write again within
  // `expiry_grace_period` if they are removed right after an outage of the
  // service.
  std::vector<std::string> expiring_prefixes;
  // Minimum interval between two watches of a node. When many endpoints change
  // at once, a watch that is repeated immediately would be a call for each
  // change.
  Duration min_watch_interval = Duration::Millis(450);
  // Minimum interval for a node that acts on each change at once.
  Duration eager_watch_interval = Duration::Millis(150);
  // Limit for the watches of all nodes together. Each change ends the watch of
  // every node, and in a large fleet something changes all the time. With more
  // nodes each node waits longer between two watches, as far as
  // `max_propagation_delay` permits.
  double max_fleet_watches_per_second = 18;
  // Minimum time for which the service may hold a watch. A connection that went
  // silent is noticed only when the answer is overdue.
  Duration min_watch_timeout = Duration::Millis(900);
  // Every node must know a change this long after the service accepted it. This
  // is the shorter of the platform's bounds for leaving endpoints and for
  // configurations.
  Duration max_propagation_delay = Duration::Millis(2000);
  // The part of `max_propagation_delay` that is reserved for an answer that
  // never comes and for the call after it.
  Duration retry_margin = Duration::Millis(1000);
  // If an answer is overdue by this much, the service counts as unreachable,
  // and other nodes are asked for what they know.
  Duration unreachable_timeout = Duration::Millis(700);
  // Interval between two such questions.
  Duration peer_request_interval = Duration::Millis(500);
  // After this many other nodes in a row could not tell what has changed, the
  // next one is asked for all keys.
  int max_failed_peer_requests = 3;
  // Owners of expired keys write them again within two seconds after the
  // service is back, as the platform specifies. The watch needs its interval in
  // addition.
  Duration expiry_grace_period = Duration::Millis(2500);
  BackoffSettings backoff = {Duration::Millis(150), Duration::Millis(800)};
  // Maximum backoff of a node on whose copy no other node depends. Meanwhile it
  // asks other nodes. Calls that the service refuses are charged too.
  Duration relaxed_backoff = Duration::Millis(2500);
  // How many nodes of a data centre learn of changes from one node that watches
  // the service. Zero: each node watches the service itself.
  std::int64_t followers_per_watcher = 24;
  // In a data centre with fewer nodes than this, each node watches the service
  // itself: the watches are few, and changes that come through another node
  // come later.
  std::int64_t min_nodes_to_follow = 8;
  // How long a followed node may wait for a change before it answers.
  Duration follow_poll_wait = Duration::Millis(400);
  // If the followed node's answer is overdue by this much, the follower watches
  // the service itself.
  Duration follow_timeout = Duration::Millis(300);
  // A node that could not tell the changes is not asked again for this long.
  Duration follow_cooldown = Duration::Seconds(5);
  // Maximum number of changes kept for followers, which covers some seconds
  // while many endpoints come and go. A follower that is further behind reads
  // from the service.
  std::size_t max_kept_changes = 2000;
};

// Asks any other node for a snapshot that is newer than the revision.
struct RequestPeerSnapshot {
  Revision newer_than;
};

enum class PeerTarget { kFollowed, kAny };

// Asks the followed node, or any other, for the changes after the revision.
struct RequestPeerChanges {
  StoreCallId id;
  PeerTarget peer = PeerTarget::kFollowed;
  Revision after;
  Duration wait;
};

using StoreMirrorAction = std::variant<StoreRequest,
                                       RequestPeerSnapshot,
                                       RequestPeerChanges,
                                       ChangesReply>;

// Keeps a copy of some prefixes of the key-value service: reads them once and
// then watches them, or follows a node that does. While this node does not
// reach the service, it learns of changes from other nodes. The revision of a
// key never decreases.
class StoreMirror {
 public:
  struct Hooks {
    std::function<void(Time, const StoreEntry&)> on_put;
    std::function<void(Time, const std::string& key)> on_deleted;
    // Called when the service answers again or stops answering.
    std::function<void(bool reachable)> on_reachable;
    // Called once the first keys are read. Returns the time over which reading
    // the others may be spread at random. If the hook is unset or returns zero,
    // they are read at once.
    std::function<Duration()> read_spread = {};
  };

  StoreMirror(StoreMirrorSettings settings, Random random, Hooks hooks);

  std::vector<StoreMirrorAction> Tick(Time now);
  std::vector<StoreMirrorAction> OnStoreReply(Time now,
                                              StoreCallId id,
                                              const StoreReply& reply);
  // Applies another node's snapshot, unless it is not newer.
  void OnPeerSnapshot(Time now, const MirrorSnapshot& snapshot);
  // Handles the asked node's answer; `changes` is absent if it did not answer
  // or could not tell.
  std::vector<StoreMirrorAction> OnPeerChanges(
      Time now,
      StoreCallId id,
      const std::optional<MirrorChanges>& changes);
  // Whether that question went to the followed node and is still open.
  bool IsFollowRequest(StoreCallId id) const {
    return is_follow_call_ && call_ == id;
  }
  // Whether the answer is present and fresh enough to be applied.
  bool IsUsable(const std::optional<MirrorChanges>& changes) const;
  // Handles a follower's request for changes.
  std::vector<StoreMirrorAction> OnChangesRequest(
      Time now,
      const ChangesRequest& request);

  // Sets whether this node acts on each change at once, as the controller of
  // groups does.
  void SetEager(bool eager) { eager_ = eager; }
  // Sets whether this node may notice later that the service is back.
  void SetRelaxed(bool relaxed);
  // Sets whether there is a node to follow.
  void SetFollowing(bool following);
  // Sets how many nodes watch the service, this one included.
  void SetWatcherCount(std::size_t watchers) { watchers_ = watchers; }
  // Whether all prefixes were read, from the service or from another node.
  bool loaded() const { return loaded_; }
  bool reachable() const { return reachable_; }
  // The latest time at which this copy is known to have been complete.
  std::optional<Time> complete_at() const { return complete_at_; }
  // The revision up to which this copy is complete.
  Revision revision() const { return revision_; }
  // Absent if this mirror knows nothing newer.
  std::optional<MirrorSnapshot> Snapshot(Revision newer_than) const;

 private:
  enum class Phase { kReading, kWatching };

  std::optional<StoreCall> NextCall(Time now);
  bool CanFollow() const;
  // Maximum age of a copy that is passed on to another node.
  Duration MaxAge() const;
  void ApplyChanges(Time now,
                    const std::vector<StoreEntry>& changed,
                    const std::vector<StoreDeletion>& deleted,
                    Revision revision);
  // Returns the next question to other nodes while the service is unreachable.
  StoreMirrorAction NextPeerRequest(Time now);
  void OnAnyPeerChanges(Time now, const std::optional<MirrorChanges>& changes);
  void ApplyPeerChanges(Time now, const MirrorChanges& changes);
  void ReplyToFollowers(Time now, std::vector<StoreMirrorAction>& actions);
  // Whether an answer of the service is overdue by `unreachable_timeout`.
  bool IsAnswerOverdue(Time now) const;
  // Minimum time from one watch of this node to its next.
  Duration WatchInterval() const;
  void OnStoreAnswered(Time now);
  void OnStoreFailed(Time now, Duration min_wait);
  void OnRange(Time now, const StoreRangeReply& reply);
  void OnFirstRead(Time now);
  void OnWatch(Time now, const StoreWatchReply& reply);
  void StartReading(Time now);
  void Put(Time now, const StoreEntry& entry);
  void Delete(Time now, const std::string& key, Revision revision);
  // Removes the keys with the prefix that a full read does not show.
  void DeleteMissing(Time now,
                     std::string_view prefix,
                     const std::set<std::string>& seen,
                     Revision revision);
  void ApplyDeferredRemovals(Time now);
  bool IsExpiringKey(std::string_view key) const;

  StoreMirrorSettings settings_;
  Random random_;
  Hooks hooks_;
  Backoff backoff_;

  std::map<std::string, StoreEntry> entries_;
  // Deferred removals of keys that may be written again, with the time at which
  // they take effect.
  std::map<std::string, Time> deferred_removals_;
  bool eager_ = false;
  bool following_ = false;
  // Whether the call in flight is a question to the followed node.
  bool is_follow_call_ = false;
  // Whether the service is watched once because the followed node could not
  // tell the changes.
  bool watch_once_ = false;
  ChangeFeed feed_;
  // The latest time at which this copy is known to have been complete, by a
  // watch of this node or of another one.
  std::optional<Time> complete_at_;
  std::size_t watchers_ = 1;
  bool loaded_ = false;
  bool reachable_ = true;
  Revision revision_;

  Phase phase_ = Phase::kReading;
  bool first_read_pending_ = false;
  std::size_t prefix_index_ = 0;
  std::string page_after_;
  std::set<std::string> seen_keys_;
  // The lowest revision of this round of reads, from which the watch continues.
  std::optional<Revision> round_revision_;

  StoreCallId last_id_;
  std::optional<StoreCallId> call_;
  Time next_call_;
  // Since when an answer of the service is due.
  std::optional<Time> answer_due_since_;
  // While the service is unreachable: when the next other node is asked, and
  // the question in flight.
  Time next_peer_request_;
  std::optional<StoreCallId> peer_request_;
  // Number of nodes in a row that could not tell what has changed.
  int failed_peer_requests_ = 0;
  // Until when removals of expiring keys are deferred.
  Time expiry_grace_until_;
};

}  // namespace gcw

#endif  // COORDINATION_GATEWAY_STORE_MIRROR_H_
