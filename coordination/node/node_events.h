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

// The part of the core that asked for something and gets the answer.
enum class NodeModule {
  kNodeLease,
  kRoleLeases,
  kMembership,
  kConfiguration,
  kOnceOwner,
  kGroupKeeper,
  kServingGate,
  kRequests,
};

// Time passed; sent about every 50 ms.
struct TimePassed {};

// A caller's request, read whole. The contract's fields of the profile are
// still empty: the core fills them from the key.
struct CallerArrived {
  KeyDigest key;
  RequestProfile profile;
};

// The caller closed its connection.
struct CallerGone {
  RequestId request;
};

// The first piece of the answer reached the caller's connection.
struct AttemptFirstByte {
  RequestId request;
  AttemptId attempt;
};

// The whole answer arrived and was given to the caller's connection.
struct AttemptAnswered {
  TokenCount generated;
  // Kept for a second send; absent where it is too large or not asked for.
  std::optional<OnceAnswer> answer;
};

// The endpoint said, in a whole answer with this attempt's id, that it did not
// run the request.
struct AttemptRefused {};

enum class AttemptBreakKind {
  kConnectRefused,
  kConnectTimeout,
  kReset,
  kSilent,
  kDeadline,
  // The answer broke the protocol: another attempt's id, a gap, a bad length.
  kMalformed,
  kTruncated,
  // Not written, since `send_before` had passed or the attempt was cancelled.
  kWithheld,
};

std::string_view AttemptBreakKindName(AttemptBreakKind kind);

struct AttemptBroke {
  AttemptBreakKind kind = AttemptBreakKind::kReset;
  AttemptProgress progress = AttemptProgress::kNothingSent;
  // Tokens of the answer that the caller's connection was given so far.
  TokenCount delivered;
};

using AttemptEnd = std::variant<AttemptAnswered, AttemptRefused, AttemptBroke>;

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

// How long a load that is queued now waits for the weight store.
struct WeightStoreRead {
  Duration wait;
};

// Names an operator's call until it is answered.
using OperatorCallId = StrongNumber<struct OperatorCallIdTag>;

struct OperatorChange {
  OperatorCallId call;
  ConfigChange change;
};

// An operator asks for a planned stop of a replica group.
struct OperatorDrainGroup {
  FabricDomainId domain;
  GroupId group;
};

// An operator asks where a revision is in force.
struct OperatorAskRevision {
  Revision revision;
};

// A planned stop of this node: SIGTERM or `gcwctl node drain`.
struct StopAsked {};

using NodeEvent = std::variant<TimePassed,
                               CallerArrived,
                               CallerGone,
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
                               OperatorAskRevision,
                               StopAsked>;

}  // namespace gcw

#endif  // COORDINATION_NODE_NODE_EVENTS_H_
