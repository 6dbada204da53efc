#include <algorithm>
#include <utility>

#include "coordination/groups/serving_gate.h"
#include "coordination/rendezvous.h"

namespace gcw {

void ServingGate::UpdateOwnLog(Time now) {
  const bool is_cut_off = prober_.SeemsCutOff();
  for (const auto& [id, known] : endpoints_) {
    const auto finding = prober_.Find(now, id);
    // A node that loses most VMs at once is probably cut off itself. It
    // withdraws its findings, which can open nothing, instead of closing a
    // share of the fleet on all nodes. If the VMs really are lost, the evidence
    // of them expires.
    if (!finding || !known.exists || is_cut_off) {
      own_log_.Withdraw(id);
      continue;
    }
    own_log_.Set(id, known.endpoint.generation, finding->presence);
  }
}

void ServingGate::UpdateZoneLog() {
  for (const auto& [id, known] : endpoints_) {
    if (known.endpoint.zone != zone_) {
      continue;
    }
    if (known.open) {
      zone_log_.Set(id, known.endpoint.generation, Presence::kComplete);
    } else if (!known.exists || known.reason == CloseReason::kStaleEvidence) {
      zone_log_.Withdraw(id);
    } else {
      zone_log_.Set(id, known.endpoint.generation,
                    known.draining || known.leaving ? Presence::kLeaving
                                                    : Presence::kIncomplete);
    }
  }
}

void ServingGate::SendReports(Time now,
                              std::vector<ServingGateAction>& actions) {
  UpdateOwnLog(now);
  UpdateZoneLog();
  const bool changed = own_log_.version() != reported_own_ ||
                       zone_log_.version() != reported_zone_;
  if (!IsReportDue(now, changed)) {
    return;
  }
  last_report_ = now;
  reported_own_ = own_log_.version();
  reported_zone_ = zone_log_.version();
  const Duration own_age = OldestOwnAge(now);
  const Duration zone_age = OldestZoneAge(now);
  for (const auto& [id, peer] : peers_) {
    if (id == self_) {
      continue;
    }
    if (peer.zone == zone_) {
      actions.emplace_back(
          PeerSend<PresenceReport>{id, MakeReport(now, own_log_, own_age, id)});
    } else if (HearsFromHere(now, peer)) {
      actions.emplace_back(PeerSend<PresenceReport>{
          id, MakeReport(now, zone_log_, zone_age, id)});
    }
  }
}

bool ServingGate::IsReportDue(Time now, bool changed) const {
  const Duration since = now - last_report_;
  return since >= settings_.report_interval ||
         (changed && since >= settings_.shortest_report_interval);
}

bool ServingGate::HearsFromHere(Time now, const GatePeer& peer) const {
  const auto count =
      static_cast<std::size_t>(settings_.correspondents_per_zone);
  const std::vector<NodeId> chosen =
      RendezvousOrder(self_.value(), NodesOf(peer.zone), count);
  if (std::find(chosen.begin(), chosen.end(), peer.id) != chosen.end()) {
    return true;
  }
  const auto heard = heard_.find(peer.id);
  return heard != heard_.end() &&
         now - heard->second.last_heard() < settings_.peer_timeout;
}

PresenceReport ServingGate::MakeReport(Time now,
                                       const PresenceLog& log,
                                       Duration oldest_age,
                                       const NodeId& to) const {
  PresenceReport report;
  report.sender = incarnation_;
  report.stamp = now;
  report.oldest_age = oldest_age;
  report.version = log.version();
  const auto heard = heard_.find(to);
  if (heard != heard_.end()) {
    heard->second.Acknowledge(report);
    report.base = heard->second.acknowledged();
  }
  report.entries = log.ChangesAfter(report.base);
  return report;
}

Duration ServingGate::OldestOwnAge(Time now) const {
  Duration oldest;
  for (const auto& [id, known] : endpoints_) {
    const auto finding = prober_.Find(now, id);
    if (finding && finding->presence == Presence::kComplete) {
      oldest = std::max(oldest, now - finding->evidence_time);
    }
  }
  return oldest;
}

Duration ServingGate::OldestZoneAge(Time now) const {
  Duration oldest;
  for (const auto& [id, known] : endpoints_) {
    if (known.open && known.endpoint.zone == zone_) {
      oldest = std::max(oldest, now - known.evidence_time);
    }
  }
  return oldest;
}

}  // namespace gcw
