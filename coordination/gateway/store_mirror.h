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
  // Families of keys that are read whole at the start and after lost history.
  std::vector<std::string> prefixes;
  // Keys that are read before all others at a start; empty where none are.
  std::string first_prefix;
  // A key that only nodes that start need: it is not passed on to followers.
  std::string unshared_key;
  // Covers all of them; one waiting call instead of one a family.
  std::string watch_prefix;
  // Keys whose removal right after an outage of the service may be undone by
  // their owner within `lapse_grace`.
  std::vector<std::string> lapsing_prefixes;
  // Between two watches of a node at least: when many endpoints change at once,
  // a watch that goes back immediately would be a call for each change.
  Duration watch_interval = Duration::Millis(450);
  // The same for a node that acts on each change at once.
  Duration eager_watch_interval = Duration::Millis(150);
  // Watches of all nodes together: each change ends the watch of every node,
  // and in a large fleet something changes all the time. With more nodes each
  // one waits longer between two, as far as `known_within` lets it.
  double fleet_watches_per_second = 18;
  // How long the service may hold a watch, at least. A connection that went
  // silent is noticed only when the answer is overdue.
  Duration watch_wait = Duration::Millis(900);
  // A change must be known to every node this long after it was accepted: the
  // shorter of the platform's bounds for endpoints that leave and for
  // configurations.
  Duration known_within = Duration::Millis(2000);
  // Left of that for an answer that never came and the call after it.
  Duration repeat_margin = Duration::Millis(1000);
  // An answer overdue by this much: the service counts as away, and other nodes
  // are asked for what they know.
  Duration away_after = Duration::Millis(700);
  // Between two such questions.
  Duration ask_peer_interval = Duration::Millis(500);
  // So many other nodes in a row that cannot tell what has changed: the next
  // one is asked for all keys.
  int snapshot_after = 3;
  // Owners of lapsed keys write them again within two seconds of the service's
  // return, as the platform says, and the watch needs its interval.
  Duration lapse_grace = Duration::Millis(2500);
  BackoffSettings backoff = {Duration::Millis(150), Duration::Millis(800)};
  // The longest wait of a node on whose copy no other one depends: meanwhile it
  // asks the others. Calls that the service refuses are priced too.
  Duration relaxed_backoff = Duration::Millis(2500);
  // How many nodes of a data centre learn of changes from one that watches the
  // service. Zero: each node watches the service itself.
  std::int64_t followers = 24;
  // Fewer nodes in a data centre each watch for themselves: their watches are
  // few, and what comes over another node comes later.
  std::int64_t follow_from = 8;
  // How long such a question waits for a change.
  Duration follow_wait = Duration::Millis(400);
  // An answer overdue by this much: the follower watches the service itself.
  Duration follow_timeout = Duration::Millis(300);
  // A node that could not tell is not asked again for this long.
  Duration follow_avoid = Duration::Seconds(5);
  // Changes kept for followers: those of some seconds while many endpoints come
  // and go. A follower that is further behind reads the service.
  std::size_t most_kept_changes = 2000;
};

// Ask any other node for a snapshot that is newer than the revision.
struct AskPeerSnapshot {
  Revision newer_than;
};

enum class AskedPeer { kFollowed, kAny };

// Ask the node that this one follows, or any other, for the changes after the
// revision.
struct AskPeerChanges {
  StoreCallId id;
  AskedPeer peer = AskedPeer::kFollowed;
  Revision after;
  Duration wait;
};

using StoreMirrorAction =
    std::variant<StoreRequest, AskPeerSnapshot, AskPeerChanges, AnswerChanges>;

// Keeps a copy of some families of keys of the key-value service, by reading
// them once and then watching, or following a node that does. Where this node
// does not reach the service it learns from nodes that do. Keys only move up in
// revision.
class StoreMirror {
 public:
  struct Hooks {
    std::function<void(Time, const StoreEntry&)> on_put;
    std::function<void(Time, const std::string& key)> on_deleted;
    // The service answers again, or no longer does.
    std::function<void(bool reachable)> on_reachable;
    // Once the first keys are read: over which time the others may be, at
    // random. Absent or zero: at once.
    std::function<Duration()> read_spread = {};
  };

  StoreMirror(StoreMirrorSettings settings, Random random, Hooks hooks);

  std::vector<StoreMirrorAction> Tick(Time now);
  std::vector<StoreMirrorAction> OnStoreReply(Time now,
                                              StoreCallId id,
                                              const StoreReply& reply);
  // Another node's snapshot; ignored where it is not newer.
  void OnPeerSnapshot(Time now, const MirrorSnapshot& snapshot);
  // What the asked node answered; absent where it did not, or could not tell.
  std::vector<StoreMirrorAction> OnPeerChanges(
      Time now,
      StoreCallId id,
      const std::optional<MirrorChanges>& changes);
  // Whether that question went to the followed node and is still open.
  bool IsFollowingBy(StoreCallId id) const { return asks_peer_ && call_ == id; }
  // Whether such an answer is fresh enough to go by.
  bool IsUsable(const std::optional<MirrorChanges>& changes) const;
  // A follower asks.
  std::vector<StoreMirrorAction> OnChangesAsked(Time now,
                                                const ChangeQuestion& question);

  // Whether each change counts, as for the keeper of groups.
  void SetEager(bool eager) { eager_ = eager; }
  // Whether this node may take longer to find out that the service is back.
  void SetRelaxed(bool relaxed);
  // Whether there is a node to follow.
  void SetFollowing(bool following);
  // How many nodes watch the service, this one included.
  void SetWatcherCount(std::size_t watchers) { watchers_ = watchers; }
  // Whether all families were read, from the service or from a peer.
  bool loaded() const { return loaded_; }
  bool reachable() const { return reachable_; }
  // Up to which revision this copy is complete.
  Revision revision() const { return revision_; }
  // Absent where nothing newer than that is known.
  std::optional<MirrorSnapshot> Snapshot(Revision newer_than) const;

 private:
  enum class Phase { kReading, kWatching };

  std::optional<StoreCall> NextCall(Time now);
  bool MayFollow() const;
  // How old a copy may be that is passed on.
  Duration MostAge() const;
  void ApplyChanges(Time now,
                    const std::vector<StoreEntry>& changed,
                    const std::vector<StoreDeletion>& deleted,
                    Revision revision);
  // The service is away: what do other nodes know?
  StoreMirrorAction NextQuestion(Time now);
  void OnChangesOfAny(Time now, const std::optional<MirrorChanges>& changes);
  void ApplyPeerChanges(Time now, const MirrorChanges& changes);
  void AnswerQuestions(Time now, std::vector<StoreMirrorAction>& actions);
  // Whether an answer is overdue for longer than a call may take.
  bool IsAway(Time now) const;
  // From one watch of this node to its next at least.
  Duration WatchInterval() const;
  void OnAnswered(Time now);
  void OnFailed(Time now, Duration least_wait);
  void OnRange(Time now, const StoreRangeReply& reply);
  void OnFirstRead(Time now);
  void OnWatch(Time now, const StoreWatchReply& reply);
  void StartReading(Time now);
  void Put(Time now, const StoreEntry& entry);
  void Delete(Time now, const std::string& key, Revision revision);
  // Removes keys of the family that a full read does not show.
  void DeleteMissing(Time now,
                     std::string_view prefix,
                     const std::set<std::string>& seen,
                     Revision revision);
  void RemoveHeld(Time now);
  bool MayLapse(std::string_view key) const;

  StoreMirrorSettings settings_;
  Random random_;
  Hooks hooks_;
  Backoff backoff_;

  std::map<std::string, StoreEntry> entries_;
  // Removals that wait for the key to come back, with the end of the wait.
  std::map<std::string, Time> held_removals_;
  bool eager_ = false;
  bool following_ = false;
  // The call under way is a question to the followed node.
  bool asks_peer_ = false;
  // The followed node could not tell: the service is watched once.
  bool watches_once_ = false;
  ChangeFeed feed_;
  // Since when this copy is known to have been complete, by a watch.
  std::optional<Time> known_at_;
  std::size_t watchers_ = 1;
  bool loaded_ = false;
  bool reachable_ = true;
  Revision revision_;

  Phase phase_ = Phase::kReading;
  bool reads_first_ = false;
  std::size_t reading_ = 0;
  std::string page_after_;
  std::set<std::string> page_seen_;
  // The lowest revision of this round of reads; watching goes on from there.
  std::optional<Revision> round_revision_;

  StoreCallId last_id_;
  std::optional<StoreCallId> call_;
  Time next_call_;
  // Since when the service owes an answer.
  std::optional<Time> owed_since_;
  // While the service is away: when another node is asked, and the question
  // under way.
  Time next_ask_;
  std::optional<StoreCallId> ask_;
  // Nodes in a row that could not tell what has changed.
  int unanswered_ = 0;
  // Until when removals are held back.
  Time lapse_until_;
};

}  // namespace gcw

#endif  // COORDINATION_GATEWAY_STORE_MIRROR_H_
