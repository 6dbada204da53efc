#ifndef COORDINATION_AT_MOST_ONCE_ONCE_MESSAGES_H_
#define COORDINATION_AT_MOST_ONCE_ONCE_MESSAGES_H_

#include <string>
#include <variant>
#include <vector>

#include "coordination/actions.h"
#include "state/state.h"

namespace gcw {

// One send of a request that may not be repeated, unique over all nodes and
// their incarnations. A claim id runs at most once, whatever its owner says
// twice: its own node sees to that.
using OnceClaimId = StrongId<struct OnceClaimIdTag>;

struct OnceHeader {
  std::string name;
  std::string value;

  friend bool operator==(const OnceHeader&, const OnceHeader&) = default;
};

// The first answer, kept so that a second send gets it too.
struct OnceAnswer {
  int status = 0;
  std::vector<OnceHeader> headers;
  std::string body;

  friend bool operator==(const OnceAnswer&, const OnceAnswer&) = default;
};

// How the send that held a claim ended.
// The claim is given back: no byte of the request left, or the endpoint
// refused it without running it, and this send will not be tried again.
struct OnceNotRun {};
struct OnceAnswered {
  OnceAnswer answer;
};
// It ran, and the answer is larger than may be kept.
struct OnceAnsweredTooLarge {};
// It may have run.
struct OnceMayHaveRun {};

using OnceOutcome = std::
    variant<OnceNotRun, OnceAnswered, OnceAnsweredTooLarge, OnceMayHaveRun>;

// What the owner of a key says of a send.
// The send may run.
struct OnceGranted {};
// The send must not run; here is the first answer.
struct OnceReplayed {
  OnceAnswer answer;
};
// An earlier send ran; its answer is no longer held.
struct OnceAnswerGone {};
// An earlier send may have run; nobody can say any more.
struct OnceEarlierUnknown {};
// An earlier send still runs.
struct OnceStillRunning {};
// The key stands for another request.
struct OnceMismatch {};
// The owner cannot decide now; this send was not recorded, or is recorded and
// will be given back by its node.
struct OnceUndecided {};
// Another node is believed to own the key.
struct OnceElsewhere {
  NodeId owner;
};

using OnceVerdict = std::variant<OnceGranted,
                                 OnceReplayed,
                                 OnceAnswerGone,
                                 OnceEarlierUnknown,
                                 OnceStillRunning,
                                 OnceMismatch,
                                 OnceUndecided,
                                 OnceElsewhere>;

// Asks for leave to run. Repeated with the same claim id until answered.
struct OnceClaimRequest {
  OnceClaimId claim;
  // Scoped to the contract by the node, at most `kMaxOnceKeyLength` long.
  IdempotencyKey key;
  Fingerprint fingerprint;
  // When the send is over at the latest, counted from now. Afterwards the owner
  // calls an unreported outcome unknown.
  Duration runs_at_most;
  // Highest revision of the key-value service that the sender has seen: a
  // service restored to the past is noticed by it.
  Revision seen;
};

struct OnceClaimReply {
  OnceClaimId claim;
  OnceVerdict verdict;
  Revision seen;
};

// Reports how a granted or abandoned claim ended. Repeated until acknowledged.
struct OnceFinish {
  OnceClaimId claim;
  IdempotencyKey key;
  OnceOutcome outcome;
};

struct OnceFinishAck {
  OnceClaimId claim;
};

using OnceMessage =
    std::variant<OnceClaimRequest, OnceClaimReply, OnceFinish, OnceFinishAck>;

// The node hands messages to itself back to itself.
using OncePeerSend = PeerSend<OnceMessage>;

// Longer keys are hashed by the node before they get here.
inline constexpr std::size_t kMaxOnceKeyLength = 160;

}  // namespace gcw

#endif  // COORDINATION_AT_MOST_ONCE_ONCE_MESSAGES_H_
