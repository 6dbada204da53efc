#include "core/event.h"

namespace gcw {
namespace {

constexpr std::string_view kUnknownKind = "unknown";

}  // namespace

std::string_view EventKindName(EventKind kind) {
  switch (kind) {
    case EventKind::kNodeStarted:
      return "node_started";
    case EventKind::kNodeDraining:
      return "node_draining";
    case EventKind::kNodeStopped:
      return "node_stopped";
    case EventKind::kPeerSuspected:
      return "peer_suspected";
    case EventKind::kPeerDead:
      return "peer_dead";
    case EventKind::kPeerAlive:
      return "peer_alive";
    case EventKind::kStoreUnreachable:
      return "store_unreachable";
    case EventKind::kStoreReachable:
      return "store_reachable";
    case EventKind::kStoreRolledBack:
      return "store_rewound";
    case EventKind::kLeaseAcquired:
      return "lease_acquired";
    case EventKind::kLeaseLost:
      return "lease_lost";
    case EventKind::kRoleAcquired:
      return "role_acquired";
    case EventKind::kRoleLost:
      return "role_lost";
    case EventKind::kContractAccepted:
      return "contract_accepted";
    case EventKind::kContractWithdrawn:
      return "contract_withdrawn";
    case EventKind::kContractConflict:
      return "contract_conflict";
    case EventKind::kConfigurationApplied:
      return "configuration_applied";
    case EventKind::kShareGranted:
      return "share_granted";
    case EventKind::kShareExpired:
      return "share_expired";
    case EventKind::kRequestAdmitted:
      return "request_admitted";
    case EventKind::kRequestQueued:
      return "request_queued";
    case EventKind::kRequestRefused:
      return "request_refused";
    case EventKind::kRequestDispatched:
      return "request_dispatched";
    case EventKind::kRequestRelayed:
      return "request_relayed";
    case EventKind::kRequestHedged:
      return "request_hedged";
    case EventKind::kRequestRetried:
      return "request_retried";
    case EventKind::kRetryBudgetUsed:
      return "retry_budget_used";
    case EventKind::kRequestFinished:
      return "request_finished";
    case EventKind::kRequestOutcomeUnknown:
      return "request_outcome_unknown";
    case EventKind::kRequestCancelled:
      return "request_cancelled";
    case EventKind::kTrialPreempted:
      return "trial_preempted";
    case EventKind::kEndpointEjected:
      return "endpoint_ejected";
    case EventKind::kEndpointRestored:
      return "endpoint_restored";
    case EventKind::kEndpointLeaving:
      return "endpoint_leaving";
    case EventKind::kEndpointsUnreachable:
      return "endpoints_unreachable";
    case EventKind::kEndpointsReachable:
      return "endpoints_reachable";
    case EventKind::kEndpointCrashed:
      return "endpoint_crashed";
    case EventKind::kEndpointCooldown:
      return "endpoint_cooldown";
    case EventKind::kEndpointLimitNamed:
      return "endpoint_limit_named";
    case EventKind::kEndpointCold:
      return "endpoint_cold";
    case EventKind::kEndpointWarm:
      return "endpoint_warm";
    case EventKind::kZoneEvacuated:
      return "zone_evacuated";
    case EventKind::kZoneRestored:
      return "zone_restored";
    case EventKind::kEndpointLimitLifted:
      return "endpoint_limit_lifted";
    case EventKind::kFingerprintSuspected:
      return "fingerprint_suspected";
    case EventKind::kFingerprintTried:
      return "fingerprint_tried";
    case EventKind::kFingerprintBlocked:
      return "fingerprint_blocked";
    case EventKind::kFingerprintUnblocked:
      return "fingerprint_unblocked";
    case EventKind::kOnceClaimed:
      return "once_claimed";
    case EventKind::kOnceReplayed:
      return "once_replayed";
    case EventKind::kOnceRefused:
      return "once_refused";
    case EventKind::kShardAcquired:
      return "shard_acquired";
    case EventKind::kShardLost:
      return "shard_lost";
    case EventKind::kFleetSynced:
      return "fleet_learned";
    case EventKind::kVmAppeared:
      return "vm_appeared";
    case EventKind::kVmLost:
      return "vm_lost";
    case EventKind::kVmRestarted:
      return "vm_restarted";
    case EventKind::kVmUnreadable:
      return "vm_unreadable";
    case EventKind::kVmQuarantined:
      return "vm_held_off";
    case EventKind::kGroupPlanned:
      return "group_planned";
    case EventKind::kGroupRecorded:
      return "group_recorded";
    case EventKind::kGroupLoading:
      return "group_loading";
    case EventKind::kGroupServing:
      return "group_serving";
    case EventKind::kGroupClosed:
      return "group_closed";
    case EventKind::kGroupRepaired:
      return "group_repaired";
    case EventKind::kGroupDissolved:
      return "group_dissolved";
    case EventKind::kGroupsReassigned:
      return "groups_reassigned";
    case EventKind::kOrderSent:
      return "order_sent";
    case EventKind::kOrderRefused:
      return "order_refused";
    case EventKind::kOrderWithheld:
      return "order_withheld";
    case EventKind::kDomainUnreachable:
      return "domain_dark";
    case EventKind::kConnectionStalled:
      return "connection_silent";
  }
  return kUnknownKind;
}

std::optional<EventKind> EventKindFromName(std::string_view name) {
  if (name == kUnknownKind) {
    return std::nullopt;
  }
  // Kinds are numbered from 0 without gaps; numbers after the last kind have no
  // name.
  for (int number = 0;; ++number) {
    const auto kind = static_cast<EventKind>(number);
    const std::string_view kind_name = EventKindName(kind);
    if (kind_name == name) {
      return kind;
    }
    if (kind_name == kUnknownKind) {
      return std::nullopt;
    }
  }
}

EventSink DiscardEvents() {
  return [](const EventDraft&) { return EventId(); };
}

}  // namespace gcw
