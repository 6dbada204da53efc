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
  // Owners of lapsed keys write them again within two seconds of the service's
  // return, as the platform says, and the watch needs its interval.
  Duration lapse_grace = Duration::Millis(2500);
  BackoffSettings backoff = {Duration::Millis(150), Duration::Millis(800)};
};

// Ask any other node for a snapshot that is newer than the revision.
struct AskPeerSnapshot {
  Revision newer_than;
};

using StoreMirrorAction = std::variant<StoreRequest, AskPeerSnapshot>;

// Keeps a copy of some families of keys of the key-value service, by reading
// them once and then watching. Where this node does not reach the service it
// learns from nodes that do. Keys only move up in revision.
class StoreMirror {
 public:
  struct Hooks {
    std::function<void(Time, const StoreEntry&)> on_put;
    std::function<void(Time, const std::string& key)> on_deleted;
    // The service answers again, or no longer does.
    std::function<void(bool reachable)> on_reachable;
  };

  StoreMirror(StoreMirrorSettings settings, Random random, Hooks hooks);

  std::vector<StoreMirrorAction> Tick(Time now);
  std::vector<StoreMirrorAction> OnStoreReply(Time now,
                                              StoreCallId id,
                                              const StoreReply& reply);
  // Another node's snapshot; ignored where it is not newer.
  void OnPeerSnapshot(Time now, const MirrorSnapshot& snapshot);

  // Whether each change counts, as for the keeper of groups.
  void SetEager(bool eager) { eager_ = eager; }
  // How many nodes watch the service, this one included.
  void SetNodeCount(std::size_t nodes) { nodes_ = nodes; }
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
  // Whether an answer is overdue for longer than a call may take.
  bool IsAway(Time now) const;
  // From one watch of this node to its next at least.
  Duration WatchInterval() const;
  void OnAnswered(Time now);
  void OnFailed(Time now, Duration least_wait);
  void OnRange(Time now, const StoreRangeReply& reply);
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
  std::size_t nodes_ = 1;
  bool loaded_ = false;
  bool reachable_ = true;
  Revision revision_;

  Phase phase_ = Phase::kReading;
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
  Time next_ask_;
  // Until when removals are held back.
  Time lapse_until_;
};

}  // namespace gcw

#endif  // COORDINATION_GATEWAY_STORE_MIRROR_H_
