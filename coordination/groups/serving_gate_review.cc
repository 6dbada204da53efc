#include <algorithm>
#include <utility>

#include "coordination/groups/serving_gate.h"

namespace gcw {

// Opens and closes endpoints according to the current evidence.
std::vector<ServingGateAction> ServingGate::Review(Time now) {
  std::vector<ServingGateAction> actions;
  for (auto& [id, tracked] : endpoints_) {
    ReviewEndpoint(now, tracked, actions);
  }
  std::erase_if(endpoints_, [](const auto& item) {
    return !item.second.exists && item.second.running <= 0;
  });
  return actions;
}

void ServingGate::ReviewEndpoint(Time now,
                                 TrackedEndpoint& tracked,
                                 std::vector<ServingGateAction>& actions) {
  const EvidenceSummary summary = EvaluateEvidence(now, tracked);
  tracked.evidence_time = summary.evidence_time;
  if (!tracked.exists) {
    Close(tracked, CloseReason::kGone, actions);
  } else if (tracked.draining) {
    Close(tracked, CloseReason::kDraining, actions);
  } else if (tracked.leaving) {
    Close(tracked, CloseReason::kLeaving, actions);
  } else if (summary.denied) {
    Close(tracked, CloseReason::kVmMissing, actions);
  } else if (summary.complete) {
    Open(tracked, actions);
  } else if (tracked.unreachable_since &&
             summary.evidence_time <= *tracked.unreachable_since) {
    Close(tracked, CloseReason::kUnreachable, actions);
  } else {
    Close(tracked, CloseReason::kStaleEvidence, actions);
  }
  ReportDrained(tracked, actions);
}

ServingGate::EvidenceSummary ServingGate::EvaluateEvidence(
    Time now,
    const TrackedEndpoint& tracked) const {
  EvidenceSummary summary;
  const EndpointId& id = tracked.endpoint.id;
  if (const auto finding = prober_.Find(now, id)) {
    AddEvidence(
        now, tracked,
        PresenceEntry{id, tracked.endpoint.generation, finding->presence,
                      /*withdrawn=*/false},
        finding->evidence_time, summary);
  }
  for (const NodeId& reporter : tracked.reporters) {
    const auto presence_it = peer_presence_.find(reporter);
    const auto peer = peers_.find(reporter);
    if (presence_it == peer_presence_.end() || peer == peers_.end() ||
        peer->second.zone != tracked.endpoint.zone ||
        !presence_it->second.evidence_time()) {
      continue;
    }
    if (const auto entry = presence_it->second.Find(id)) {
      AddEvidence(now, tracked, *entry, *presence_it->second.evidence_time(),
                  summary);
    }
  }
  return summary;
}

void ServingGate::AddEvidence(Time now,
                              const TrackedEndpoint& tracked,
                              const PresenceEntry& entry,
                              Time evidence,
                              EvidenceSummary& summary) const {
  if (now - evidence > MaxAge(tracked) ||
      entry.generation < tracked.endpoint.generation) {
    return;
  }
  // A later generation means that this node's record is out of date.
  if (entry.presence != Presence::kComplete ||
      entry.generation > tracked.endpoint.generation) {
    summary.denied = true;
    return;
  }
  summary.evidence_time = std::max(summary.evidence_time, evidence);
  if (!tracked.unreachable_since || evidence > *tracked.unreachable_since) {
    summary.complete = true;
  }
}

void ServingGate::Open(TrackedEndpoint& tracked,
                       std::vector<ServingGateAction>& actions) {
  if (tracked.open) {
    return;
  }
  tracked.open = true;
  tracked.drained_reported = false;
  tracked.unreachable_since.reset();
  events_({EventKind::kGroupServing,
           tracked.endpoint.id.value(),
           EventId(),
           {{"generation", tracked.endpoint.generation.value()}}});
  actions.emplace_back(EndpointOpened{tracked.endpoint});
}

void ServingGate::Close(TrackedEndpoint& tracked,
                        CloseReason reason,
                        std::vector<ServingGateAction>& actions) {
  tracked.reason = reason;
  if (!tracked.open) {
    return;
  }
  tracked.open = false;
  events_({EventKind::kGroupClosed,
           tracked.endpoint.id.value(),
           EventId(),
           {{"generation", tracked.endpoint.generation.value()},
            {"reason", std::string(CloseReasonName(reason))}}});
  actions.emplace_back(EndpointClosed{tracked.endpoint.id, reason});
}

void ServingGate::ReportDrained(TrackedEndpoint& tracked,
                                std::vector<ServingGateAction>& actions) {
  const bool is_leaving =
      !tracked.exists || tracked.draining || tracked.leaving;
  if (!is_leaving || tracked.running > 0 || tracked.drained_reported) {
    return;
  }
  tracked.drained_reported = true;
  actions.emplace_back(EndpointDrained{tracked.endpoint.id});
}

}  // namespace gcw
