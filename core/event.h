#ifndef CORE_EVENT_H_
#define CORE_EVENT_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "core/clock.h"
#include "core/ids.h"

namespace gcw {

// Unique across all nodes: the node's id, its incarnation and a counter.
using EventId = StrongId<struct EventIdTag>;

// Kind of an event, one for each kind of decision that the system explains.
enum class EventKind {
  kNodeStarted,
  kNodeDraining,
  kNodeStopped,
  kPeerSuspected,
  kPeerDead,
  kPeerAlive,
  kStoreUnreachable,
  kStoreReachable,
  kStoreRolledBack,
  kLeaseAcquired,
  kLeaseLost,
  kRoleAcquired,
  kRoleLost,
  kContractAccepted,
  kContractWithdrawn,
  kContractConflict,
  kConfigurationApplied,
  kShareGranted,
  kShareExpired,
  kRequestAdmitted,
  kRequestQueued,
  kRequestRefused,
  kRequestDispatched,
  kRequestRelayed,
  kRequestHedged,
  kRequestRetried,
  kRetryBudgetUsed,
  kRequestFinished,
  kRequestOutcomeUnknown,
  kRequestCancelled,
  kTrialPreempted,
  kEndpointEjected,
  kEndpointRestored,
  kEndpointLeaving,
  kEndpointsUnreachable,
  kEndpointsReachable,
  kEndpointCooldown,
  kEndpointCrashed,
  kEndpointLimitNamed,
  kEndpointLimitLifted,
  kEndpointCold,
  kEndpointWarm,
  kZoneEvacuated,
  kZoneRestored,
  kFingerprintSuspected,
  kFingerprintTried,
  kFingerprintBlocked,
  kFingerprintUnblocked,
  kOnceClaimed,
  kOnceReplayed,
  kOnceRefused,
  kShardAcquired,
  kShardLost,
  kFleetSynced,
  kVmAppeared,
  kVmLost,
  kVmRestarted,
  kVmUnreadable,
  kVmQuarantined,
  kGroupPlanned,
  kGroupRecorded,
  kGroupLoading,
  kGroupServing,
  kGroupClosed,
  kGroupRepaired,
  kGroupDissolved,
  kGroupsReassigned,
  kOrderSent,
  kOrderRefused,
  kOrderWithheld,
  kDomainUnreachable,
  kConnectionStalled,
};

// Returns the event kind's name in logs and timelines, such as "group_serving".
std::string_view EventKindName(EventKind kind);

// Returns the kind of that name, or nothing if there is none.
std::optional<EventKind> EventKindFromName(std::string_view name);

// A typed attribute of an event; `name` is a string literal.
struct EventField {
  std::string_view name;
  std::variant<std::int64_t, double, bool, std::string> value;
};

// Hybrid logical time: physical milliseconds and a counter. The counter orders
// events of the same millisecond, and an effect after its cause on another node
// whose clock is behind.
struct HybridTime {
  Time physical;
  std::int64_t logical = 0;

  friend auto operator<=>(const HybridTime&, const HybridTime&) = default;
};

// An event as a module reports it, before the node assigns its id and time.
struct EventDraft {
  EventKind kind;
  // Id of the request, group, contract or other object that the event is about.
  std::string subject;
  // The event that caused this one; empty if none did.
  EventId cause;
  std::vector<EventField> fields;
};

// An event as stored in the timeline.
struct TimelineEvent {
  EventId id;
  HybridTime time;
  NodeId node;
  EventDraft draft;
};

// Hook through which modules report events. Returns the event's id, which later
// events can name as their cause.
using EventSink = std::function<EventId(EventDraft)>;

// Returns a sink that discards events and returns empty ids.
EventSink DiscardEvents();

}  // namespace gcw

#endif  // CORE_EVENT_H_
