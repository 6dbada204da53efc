#ifndef COORDINATION_NODE_NODE_EVENTS_H_
#define COORDINATION_NODE_NODE_EVENTS_H_

#include <optional>
#include <variant>

#include "coordination/at_most_once/once_messages.h"
#include "coordination/configuration/config_proposer.h"
#include "coordination/groups/order_sender.h"
#include "coordination/groups/vm_probe.h"
#include "coordination/node/peer_message.h"
#include "coordination/requests/attempt_log.h"
#include "coordination/requests/request.h"
#include "state/state.h"

namespace gcw {

// Part of the core that started a call and receives its answer.
enum class NodeModule {
  kNodeLease,
  kRoleLeases,
  kMembership,
  kConfiguration,
  kOnceOwner,
  kGroupController,
  kServingGate,
  kRequests,
};

// Clock tick, sent about every 50 ms.
struct TimePassed {};

// A caller's request that was read completely. The fields of the profile that
// come from the contract are still empty: the core looks the contract up by the
// key and fills them in.
struct CallerArrived {
  KeyDigest key;
  RequestProfile profile;
};

// The caller closed its connection.
struct CallerDisconnected {
  RequestId request;
};

// The first part of the answer was passed to the caller's connection.
struct AttemptFirstByte {
  RequestId request;
  AttemptId attempt;
};

// The whole answer arrived and was passed to the caller's connection.
struct AttemptAnswered {
  TokenCount generated;
  // The answer for a second send of the request. Absent if it is too large or
  // was not requested with `keep_answer`.
  std::optional<OnceAnswer> answer;
};

// The endpoint answered, completely and with this attempt's id, that it did not
// run the request.
struct AttemptRefused {};

enum class AttemptFailureKind {
  kConnectRefused,
  kConnectTimeout,
  kReset,
  kStalled,
  kDeadline,
  // The answer violated the protocol: another attempt's id, a gap, or a wrong
  // length.
  kMalformed,
  kTruncated,
  // The request was not written, because `send_before` had passed or the
  // attempt was cancelled.
  kWithheld,
};

std::string_view AttemptFailureKindName(AttemptFailureKind kind);

struct AttemptFailed {
  AttemptFailureKind kind = AttemptFailureKind::kReset;
  AttemptProgress progress = AttemptProgress::kNothingSent;
  // Number of tokens of the answer that were passed to the caller's connection.
  TokenCount delivered;
};

using AttemptEnd = std::variant<AttemptAnswered, AttemptRefused, AttemptFailed>;

struct AttemptEnded {
  RequestId request;
  AttemptId attempt;
  AttemptEnd end;
};

struct StoreAnswered {
  NodeModule module = NodeModule::kNodeLease;
  StoreCallId id;
  StoreReply reply;
};

struct PeerReceived {
  NodeId from;
  PeerMessage message;
};

struct VmListRead {
  VmListSnapshot snapshot;
};

struct ProbeAnswered {
  NodeModule module = NodeModule::kServingGate;
  ProbeId id;
  ProbeReply reply;
};

struct OrderAnswered {
  OrderId id;
  OrderReply reply;
};

struct LoadReportRead {
  LoadReport report;
};

struct CacheEventsRead {
  EndpointId endpoint;
  CacheEventBatch batch;
};

// Expected wait for the weight store of a load that is queued now.
struct WeightStoreRead {
  Duration wait;
};

// Identifies an operator's call until it is answered.
using OperatorCallId = StrongNumber<struct OperatorCallIdTag>;

struct OperatorChange {
  OperatorCallId call;
  ConfigChange change;
};

// An operator requests a planned stop of a replica group.
struct OperatorDrainGroup {
  FabricDomainId domain;
  GroupId group;
};

// An operator requests the list of nodes on which a revision is in force.
struct OperatorQueryRevision {
  Revision revision;
};

// A planned stop of this node was requested by SIGTERM or `gcwctl node drain`.
struct StopRequested {};

using NodeEvent = std::variant<TimePassed,
                               CallerArrived,
                               CallerDisconnected,
                               AttemptFirstByte,
                               AttemptEnded,
                               StoreAnswered,
                               PeerReceived,
                               VmListRead,
                               ProbeAnswered,
                               OrderAnswered,
                               LoadReportRead,
                               CacheEventsRead,
                               WeightStoreRead,
                               OperatorChange,
                               OperatorDrainGroup,
                               OperatorQueryRevision,
                               StopRequested>;

}  // namespace gcw

#endif  // COORDINATION_NODE_NODE_EVENTS_H_
