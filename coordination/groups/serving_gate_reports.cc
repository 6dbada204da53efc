#include <algorithm>
#include <utility>

#include "coordination/groups/serving_gate.h"
#include "coordination/rendezvous.h"

namespace gcw {

void ServingGate::UpdateOwnLog(Time now) {
  const bool is_cut_off = prober_.IsLikelyIsolated();
  for (const auto& [id, tracked] : endpoints_) {
    const auto finding = prober_.Find(now, id);
    // A node that loses most VMs at once is probably cut off itself. It
    // withdraws its findings, which can open nothing, instead of closing a
    // share of the fleet on all nodes. If the VMs really are lost, the evidence
    // of them expires.
    if (!finding || !tracked.exists || is_cut_off) {
      own_log_.Withdraw(id);
      continue;
    }
    own_log_.Set(id, tracked.endpoint.generation, finding->presence);
  }
}

void ServingGate::UpdateZoneLog() {
  for (const auto& [id, tracked] : endpoints_) {
    if (tracked.endpoint.zone != zone_) {
      continue;
    }
    if (tracked.open) {
      zone_log_.Set(id, tracked.endpoint.generation, Presence::kComplete);
    } else if (!tracked.exists ||
               tracked.reason == CloseReason::kStaleEvidence) {
      zone_log_.Withdraw(id);
    } else {
      zone_log_.Set(id, tracked.endpoint.generation,
                    tracked.draining || tracked.leaving
                        ? Presence::kLeaving
                        : Presence::kIncomplete);
    }
  }
}

void ServingGate::SendReports(Time now,
                              std::vector<ServingGateAction>& actions) {
  UpdateOwnLog(now);
  UpdateZoneLog();
  const bool changed = own_log_.version() != reported_own_version_ ||
                       zone_log_.version() != reported_zone_version_;
  if (!IsReportDue(now, changed)) {
    return;
  }
  last_report_ = now;
  reported_own_version_ = own_log_.version();
  reported_zone_version_ = zone_log_.version();
  const Duration own_age = OldestOwnAge(now);
  const Duration zone_age = OldestZoneAge(now);
  for (const auto& [id, peer] : peers_) {
    if (id == self_) {
      continue;
    }
    if (peer.zone == zone_) {
      actions.emplace_back(
          PeerSend<PresenceReport>{id, MakeReport(now, own_log_, own_age, id)});
    } else if (IsReportTarget(now, peer)) {
      actions.emplace_back(PeerSend<PresenceReport>{
          id, MakeReport(now, zone_log_, zone_age, id)});
    }
  }
}

bool ServingGate::IsReportDue(Time now, bool changed) const {
  const Duration since = now - last_report_;
  return since >= settings_.report_interval ||
         (changed && since >= settings_.min_report_interval);
}

bool ServingGate::IsReportTarget(Time now, const GatePeer& peer) const {
  const auto count = static_cast<std::size_t>(settings_.report_peers_per_zone);
  const std::vector<NodeId> chosen =
      RendezvousOrder(self_.value(), NodesOf(peer.zone), count);
  if (std::find(chosen.begin(), chosen.end(), peer.id) != chosen.end()) {
    return true;
  }
  const auto presence_it = peer_presence_.find(peer.id);
  return presence_it != peer_presence_.end() &&
         now - presence_it->second.last_report_time() < settings_.peer_timeout;
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
  const auto presence_it = peer_presence_.find(to);
  if (presence_it != peer_presence_.end()) {
    presence_it->second.Acknowledge(report);
    report.base = presence_it->second.acknowledged();
  }
  report.entries = log.ChangesAfter(report.base);
  return report;
}

Duration ServingGate::OldestOwnAge(Time now) const {
  Duration oldest;
  for (const auto& [id, tracked] : endpoints_) {
    const auto finding = prober_.Find(now, id);
    if (finding && finding->presence == Presence::kComplete) {
      oldest = std::max(oldest, now - finding->evidence_time);
    }
  }
  return oldest;
}

Duration ServingGate::OldestZoneAge(Time now) const {
  Duration oldest;
  for (const auto& [id, tracked] : endpoints_) {
    if (tracked.open && tracked.endpoint.zone == zone_) {
      oldest = std::max(oldest, now - tracked.evidence_time);
    }
  }
  return oldest;
}

}  // namespace gcw
