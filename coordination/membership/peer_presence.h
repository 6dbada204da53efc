#ifndef COORDINATION_MEMBERSHIP_PEER_PRESENCE_H_
#define COORDINATION_MEMBERSHIP_PEER_PRESENCE_H_

#include <cstdint>
#include <map>
#include <optional>

#include "coordination/groups/groups_messages.h"
#include "state/state.h"

namespace gcw {

// What another node reports about endpoints, and the age of that evidence on
// this node's clock.
class PeerPresence {
 public:
  explicit PeerPresence(Incarnation self);

  // Returns false if the report comes from an earlier run, is out of order, or
  // builds on a version that this node does not have.
  bool Apply(Time now, const PresenceReport& report);

  // Returns what the peer reports about the endpoint, if anything.
  std::optional<PresenceEntry> Find(const EndpointId& endpoint) const;

  // Time since which all evidence of this peer was collected. Absent until the
  // peer has answered a report of this run of the node.
  std::optional<Time> evidence_time() const { return evidence_time_; }

  Time last_report_time() const { return last_report_time_; }

  // Fills in the fields by which the next report to this peer acknowledges its
  // reports.
  void Acknowledge(PresenceReport& report) const;

  // The newest version of this node's log that the peer has.
  std::int64_t acknowledged() const { return acknowledged_; }

 private:
  void Reset(Incarnation sender);

  Incarnation self_;
  Incarnation sender_;
  Time newest_stamp_;
  Time last_report_time_;
  std::optional<Time> evidence_time_;
  std::int64_t version_ = 0;
  std::int64_t acknowledged_ = 0;
  std::map<EndpointId, PresenceEntry> entries_;
};

}  // namespace gcw

#endif  // COORDINATION_MEMBERSHIP_PEER_PRESENCE_H_
