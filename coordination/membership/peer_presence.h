#ifndef COORDINATION_MEMBERSHIP_PEER_PRESENCE_H_
#define COORDINATION_MEMBERSHIP_PEER_PRESENCE_H_

#include <cstdint>
#include <map>
#include <optional>

#include "coordination/groups/groups_messages.h"
#include "state/state.h"

namespace gcw {

// What one other node said of endpoints, and how old that is on this node's
// own clock.
class PeerPresence {
 public:
  explicit PeerPresence(Incarnation self);

  // Returns false where the report is of an earlier run, out of order, or
  // builds on a version that this node does not have.
  bool Apply(Time now, const PresenceReport& report);

  // What the peer says of the endpoint; nothing where it says nothing.
  std::optional<PresenceEntry> Find(const EndpointId& endpoint) const;

  // All evidence of this peer was taken at this time or later. Absent until a
  // report came that answers one of this node's own.
  std::optional<Time> evidence_time() const { return evidence_time_; }

  Time last_heard() const { return last_heard_; }

  // Fills in what the next report to this peer must echo.
  void Acknowledge(PresenceReport& report) const;

  // The newest version of this node's log that the peer has.
  std::int64_t acknowledged() const { return acknowledged_; }

 private:
  void StartOver(Incarnation sender);

  Incarnation self_;
  Incarnation sender_;
  Time newest_stamp_;
  Time last_heard_;
  std::optional<Time> evidence_time_;
  std::int64_t version_ = 0;
  std::int64_t acknowledged_ = 0;
  std::map<EndpointId, PresenceEntry> entries_;
};

}  // namespace gcw

#endif  // COORDINATION_MEMBERSHIP_PEER_PRESENCE_H_
