#include "coordination/membership/peer_presence.h"

#include <algorithm>

namespace gcw {

PeerPresence::PeerPresence(Incarnation self) : self_(self) {}

bool PeerPresence::Apply(Time now, const PresenceReport& report) {
  if (report.sender < sender_) {
    return false;
  }
  if (report.sender > sender_) {
    Reset(report.sender);
  }
  if (report.stamp <= newest_stamp_) {
    return false;
  }
  newest_stamp_ = report.stamp;
  last_report_time_ = now;
  // An echo or acknowledgement that refers to an earlier run of this node is
  // void.
  const bool knows_this_run = report.receiver == self_;
  acknowledged_ = knows_this_run ? report.acknowledged : 0;
  if (report.base > version_) {
    return false;
  }
  for (const PresenceEntry& entry : report.entries) {
    entries_[entry.endpoint] = entry;
  }
  version_ = std::max(version_, report.version);
  if (knows_this_run && report.echo != Time()) {
    const Time evidence = report.echo - report.oldest_age;
    evidence_time_ = std::max(evidence_time_.value_or(evidence), evidence);
  }
  return true;
}

std::optional<PresenceEntry> PeerPresence::Find(
    const EndpointId& endpoint) const {
  const auto it = entries_.find(endpoint);
  if (it == entries_.end() || it->second.withdrawn) {
    return std::nullopt;
  }
  return it->second;
}

void PeerPresence::Acknowledge(PresenceReport& report) const {
  report.receiver = sender_;
  report.echo = newest_stamp_;
  report.acknowledged = version_;
}

void PeerPresence::Reset(Incarnation sender) {
  sender_ = sender;
  newest_stamp_ = Time();
  evidence_time_.reset();
  version_ = 0;
  acknowledged_ = 0;
  entries_.clear();
}

}  // namespace gcw
