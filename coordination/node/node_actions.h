#ifndef COORDINATION_NODE_NODE_ACTIONS_H_
#define COORDINATION_NODE_NODE_ACTIONS_H_

#include <variant>
#include <vector>

#include "coordination/admission/admission.h"
#include "coordination/node/node_events.h"

namespace gcw {

// Send the request to the endpoint, as this attempt. `AttemptEnded` follows
// exactly once.
struct DispatchAttempt {
  RequestId request;
  AttemptId attempt;
  Endpoint endpoint;
  EnginePriority priority;
  Time deadline;
  // Looked at right before the first byte is given to the kernel, on a clock
  // that counts time suspended: from this time on nothing may be written.
  Time send_before;
  // Tokens that the caller has already.
  TokenCount resume_from;
  // Requests that may not be repeated get a new connection, since a pooled one
  // may have died unseen.
  bool fresh_connection = false;
  // The answer is to be handed in with `AttemptAnswered`.
  bool keep_answer = false;
};

// Stop working on the attempt; `AttemptEnded` still follows.
struct CancelAttempt {
  RequestId request;
  AttemptId attempt;
};

// The final answers to a request that was not answered whole. After each of
// them the request's id is forgotten.

// The request was not run.
struct TellRefused {
  RequestId request;
  Refusal refusal;
};

// The request may have run.
struct TellUnknown {
  RequestId request;
};

// The caller holds a part of the answer; no more will come.
struct TellStreamBroken {
  RequestId request;
};

// A trial request was stopped to make room for paid work; it has run in part.
struct TellPreempted {
  RequestId request;
  Duration retry_after;
};

// An earlier send with the same idempotency key ran; this is its answer.
struct TellReplay {
  RequestId request;
  OnceAnswer answer;
};

// This send was not run; an earlier one with the same key ran (`certain`) or
// may have run, and its answer is not held any more.
struct TellEarlierSend {
  RequestId request;
  bool certain = false;
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

// `SendOrder` of the group keeper is an action as it stands.

// Read the platform's VM list, `VmListRead` follows where it answers.
struct ReadVmList {};
struct ReadWeightStore {};
struct ReadLoad {
  Endpoint endpoint;
};
struct ReadCacheEvents {
  Endpoint endpoint;
  // The highest sequence number read so far.
  std::int64_t after = 0;
};

// Pooled connections there are dead although the endpoint is alive.
struct DropConnections {
  Address address;
};

// This node's keeper committed a domain's record; the core spreads it.
struct PublishRecord {
  DomainRecord record;
  Revision revision;
};

struct AnswerOperator {
  OperatorCallId call;
  ChangeOutcome outcome;
};

// The planned stop is complete: nothing runs here any more.
struct StopNow {};

using NodeAction = std::variant<DispatchAttempt,
                                CancelAttempt,
                                TellRefused,
                                TellUnknown,
                                TellStreamBroken,
                                TellPreempted,
                                TellReplay,
                                TellEarlierSend,
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
