#ifndef COORDINATION_GATEWAY_CHANGE_FEED_H_
#define COORDINATION_GATEWAY_CHANGE_FEED_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <variant>
#include <vector>

#include "state/state.h"

namespace gcw {

using ChangesRequestId = StrongNumber<struct ChangesRequestIdTag>;

// Another node's request for the changes after a revision. The reply may wait
// up to `wait` for a change.
struct ChangesRequest {
  ChangesRequestId id;
  Revision after;
  Duration wait;
};

// Changes of the key-value service that one node sends to another.
struct MirrorChanges {
  // All changes up to this revision are included.
  Revision revision;
  std::vector<StoreEntry> changed;
  std::vector<StoreDeletion> deleted;
  // How long ago the sender's own copy was known to be complete.
  Duration age;
  // For how long the sender still defers removals after an outage.
  Duration expiry_grace_left;
};

// Replies to a ChangesRequest. `changes` is absent if this node cannot tell, so
// that the asking node has to call the service itself.
struct ChangesReply {
  ChangesRequestId id;
  std::optional<MirrorChanges> changes;
};

// Keeps the latest changes and other nodes' pending requests for them, so that
// one node watches the service for many.
class ChangeFeed {
 public:
  explicit ChangeFeed(std::size_t max_changes) : max_changes_(max_changes) {}

  // Drops all changes. Changes up to this revision can no longer be told.
  void ResetTo(Revision revision);
  // Appends changes that are newer than all added before.
  void Add(const std::vector<StoreEntry>& changed,
           const std::vector<StoreDeletion>& deleted);

  void AddRequest(Time now, const ChangesRequest& request);
  bool has_pending_requests() const { return !pending_requests_.empty(); }
  // Returns answers to the requests that need not wait any longer. `age` is
  // absent if this node's copy is not known to be fresh, and then no changes
  // can be told.
  std::vector<ChangesReply> TakeReplies(Time now,
                                        Revision revision,
                                        std::optional<Duration> age,
                                        Duration expiry_grace_left);

 private:
  using Change = std::variant<StoreEntry, StoreDeletion>;
  struct PendingRequest {
    ChangesRequest request;
    Time deadline;
  };

  MirrorChanges ChangesAfter(Revision after) const;

  std::size_t max_changes_;
  std::deque<Change> changes_;
  // The changes after this revision are kept. Absent until the first copy is
  // complete.
  std::optional<Revision> start_revision_;
  std::vector<PendingRequest> pending_requests_;
};

}  // namespace gcw

#endif  // COORDINATION_GATEWAY_CHANGE_FEED_H_
