#include <algorithm>
#include <utility>

#include "coordination/groups/serving_gate.h"

namespace gcw {

// Opens and closes endpoints according to the current evidence.
std::vector<ServingGateAction> ServingGate::Review(Time now) {
  std::vector<ServingGateAction> actions;
  for (auto& [id, known] : endpoints_) {
    ReviewOne(now, known, actions);
  }
  std::erase_if(endpoints_, [](const auto& item) {
    return !item.second.exists && item.second.running <= 0;
  });
  return actions;
}

void ServingGate::ReviewOne(Time now,
                            Known& known,
                            std::vector<ServingGateAction>& actions) {
  const Verdict verdict = Judge(now, known);
  known.evidence_time = verdict.evidence_time;
  if (!known.exists) {
    Close(known, CloseReason::kGone, actions);
  } else if (known.draining) {
    Close(known, CloseReason::kDraining, actions);
  } else if (known.leaving) {
    Close(known, CloseReason::kLeaving, actions);
  } else if (verdict.denied) {
    Close(known, CloseReason::kVmMissing, actions);
  } else if (verdict.complete) {
    Open(known, actions);
  } else if (known.unreachable_since &&
             verdict.evidence_time <= *known.unreachable_since) {
    Close(known, CloseReason::kUnreachable, actions);
  } else {
    Close(known, CloseReason::kStaleEvidence, actions);
  }
  ReportDrained(known, actions);
}

ServingGate::Verdict ServingGate::Judge(Time now, const Known& known) const {
  Verdict verdict;
  const EndpointId& id = known.endpoint.id;
  if (const auto finding = prober_.Find(now, id)) {
    Consider(now, known,
             PresenceEntry{id, known.endpoint.generation, finding->presence,
                           /*withdrawn=*/false},
             finding->evidence_time, verdict);
  }
  for (const NodeId& speaker : known.speakers) {
    const auto heard = heard_.find(speaker);
    const auto peer = peers_.find(speaker);
    if (heard == heard_.end() || peer == peers_.end() ||
        peer->second.zone != known.endpoint.zone ||
        !heard->second.evidence_time()) {
      continue;
    }
    if (const auto entry = heard->second.Find(id)) {
      Consider(now, known, *entry, *heard->second.evidence_time(), verdict);
    }
  }
  return verdict;
}

void ServingGate::Consider(Time now,
                           const Known& known,
                           const PresenceEntry& entry,
                           Time evidence,
                           Verdict& verdict) const {
  if (now - evidence > MaxAge(known) ||
      entry.generation < known.endpoint.generation) {
    return;
  }
  // A later generation means that this node's record is out of date.
  if (entry.presence != Presence::kComplete ||
      entry.generation > known.endpoint.generation) {
    verdict.denied = true;
    return;
  }
  verdict.evidence_time = std::max(verdict.evidence_time, evidence);
  if (!known.unreachable_since || evidence > *known.unreachable_since) {
    verdict.complete = true;
  }
}

void ServingGate::Open(Known& known, std::vector<ServingGateAction>& actions) {
  if (known.open) {
    return;
  }
  known.open = true;
  known.drained_reported = false;
  known.unreachable_since.reset();
  events_({EventKind::kGroupServing,
           known.endpoint.id.value(),
           EventId(),
           {{"generation", known.endpoint.generation.value()}}});
  actions.emplace_back(EndpointOpened{known.endpoint});
}

void ServingGate::Close(Known& known,
                        CloseReason reason,
                        std::vector<ServingGateAction>& actions) {
  known.reason = reason;
  if (!known.open) {
    return;
  }
  known.open = false;
  events_({EventKind::kGroupClosed,
           known.endpoint.id.value(),
           EventId(),
           {{"generation", known.endpoint.generation.value()},
            {"reason", std::string(CloseReasonName(reason))}}});
  actions.emplace_back(EndpointClosed{known.endpoint.id, reason});
}

void ServingGate::ReportDrained(Known& known,
                                std::vector<ServingGateAction>& actions) {
  const bool is_leaving = !known.exists || known.draining || known.leaving;
  if (!is_leaving || known.running > 0 || known.drained_reported) {
    return;
  }
  known.drained_reported = true;
  actions.emplace_back(EndpointDrained{known.endpoint.id});
}

}  // namespace gcw
