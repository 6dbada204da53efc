#ifndef COORDINATION_NODE_NODE_ACTIONS_H_
#define COORDINATION_NODE_NODE_ACTIONS_H_

#include <variant>
#include <vector>

#include "coordination/admission/admission.h"
#include "coordination/node/node_events.h"

namespace gcw {

// Sends the request to the endpoint as this attempt. Exactly one `AttemptEnded`
// follows.
struct DispatchAttempt {
  RequestId request;
  AttemptId attempt;
  Endpoint endpoint;
  EnginePriority priority;
  Time deadline;
  // Nothing may be written from this time on. It is checked right before the
  // first byte is given to the kernel, on a clock that also counts time in
  // suspension.
  Time send_before;
  // Number of tokens that the caller already has.
  TokenCount resume_from;
  // Set for requests that must not be repeated, because a pooled connection may
  // have failed unnoticed.
  bool fresh_connection = false;
  // Whether `AttemptAnswered` must carry the answer.
  bool keep_answer = false;
};

// Cancels the attempt; `AttemptEnded` still follows.
struct CancelAttempt {
  RequestId request;
  AttemptId attempt;
};

// The following actions end a request that did not get a complete answer. The
// request's id is forgotten after each of them.

// The request was not run.
struct RespondRefused {
  RequestId request;
  Refusal refusal;
};

// The request may have run.
struct RespondOutcomeUnknown {
  RequestId request;
};

// The caller has received a part of the answer and gets no more of it.
struct RespondStreamBroken {
  RequestId request;
};

// A trial request was stopped to make room for paid work. A part of it has run.
struct RespondPreempted {
  RequestId request;
  Duration retry_after;
};

// An earlier send with the same idempotency key ran; `answer` is its answer.
struct RespondReplay {
  RequestId request;
  OnceAnswer answer;
};

// This send was not run. An earlier send with the same key ran if `earlier_ran`
// is true and may have run otherwise; its answer is no longer stored.
struct RespondDuplicate {
  RequestId request;
  bool earlier_ran = false;
};

struct CallStore {
  NodeModule module = NodeModule::kNodeLease;
  StoreCallId id;
  StoreCall call;
};

struct SendToPeer {
  NodeId to;
  Address address;
  PeerMessage message;
};

struct SendProbe {
  NodeModule module = NodeModule::kServingGate;
  ProbeVm probe;
};

// `SendOrder` of the group controller is used as an action without a wrapper.

// Reads the platform's VM list. `VmListRead` follows if the platform answers.
struct ReadVmList {};
struct ReadWeightStore {};
struct ReadLoad {
  Endpoint endpoint;
};
struct ReadCacheEvents {
  Endpoint endpoint;
  // The highest sequence number that has been read.
  std::int64_t after = 0;
};

// Closes the pooled connections to this address: they are dead although the
// endpoint is alive.
struct DropConnections {
  Address address;
};

// The group controller of this node committed a domain's record, which the core
// passes on to the other modules.
struct PublishRecord {
  DomainRecord record;
  Revision revision;
};

struct AnswerOperator {
  OperatorCallId call;
  ChangeOutcome outcome;
};

// The planned stop is complete, and the process can exit: the node has no open
// requests and holds no roles.
struct StopNow {};

using NodeAction = std::variant<DispatchAttempt,
                                CancelAttempt,
                                RespondRefused,
                                RespondOutcomeUnknown,
                                RespondStreamBroken,
                                RespondPreempted,
                                RespondReplay,
                                RespondDuplicate,
                                CallStore,
                                SendToPeer,
                                SendProbe,
                                SendOrder,
                                ReadVmList,
                                ReadWeightStore,
                                ReadLoad,
                                ReadCacheEvents,
                                DropConnections,
                                PublishRecord,
                                AnswerOperator,
                                StopNow>;

using NodeActions = std::vector<NodeAction>;

}  // namespace gcw

#endif  // COORDINATION_NODE_NODE_ACTIONS_H_
