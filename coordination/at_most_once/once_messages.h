#ifndef COORDINATION_AT_MOST_ONCE_ONCE_MESSAGES_H_
#define COORDINATION_AT_MOST_ONCE_ONCE_MESSAGES_H_

#include <string>
#include <variant>
#include <vector>

#include "coordination/actions.h"
#include "state/state.h"

namespace gcw {

// Identifies one send of a request that must run at most once, unique over all
// nodes and their incarnations. The node that made the id runs it at most once,
// even if the owner grants it repeatedly.
using OnceClaimId = StrongId<struct OnceClaimIdTag>;

struct OnceHeader {
  std::string name;
  std::string value;

  friend bool operator==(const OnceHeader&, const OnceHeader&) = default;
};

// The answer of the first send, kept for replay to later sends.
struct OnceAnswer {
  int status = 0;
  std::vector<OnceHeader> headers;
  std::string body;

  friend bool operator==(const OnceAnswer&, const OnceAnswer&) = default;
};

// The variants of `OnceOutcome` say how the send that held a claim ended.
// The claim is given back: no byte of the request was written, or the endpoint
// refused it without running it, and this send will not be retried.
struct OnceNotRun {};
struct OnceAnswered {
  OnceAnswer answer;
};
// The request ran, and its answer is too large to be kept.
struct OnceAnsweredTooLarge {};
// The request may have run.
struct OnceMayHaveRun {};

using OnceOutcome = std::
    variant<OnceNotRun, OnceAnswered, OnceAnsweredTooLarge, OnceMayHaveRun>;

// The variants of `OnceVerdict` are the owner's decision on a send.
// The send may run.
struct OnceGranted {};
// The send must not run. The answer of the first send is attached.
struct OnceReplayed {
  OnceAnswer answer;
};
// An earlier send ran, and its answer is not available any more.
struct OnceAnswerEvicted {};
// An earlier send may have run. This can no longer be determined.
struct OnceEarlierUnknown {};
// An earlier send is still running.
struct OnceStillRunning {};
// The key was used for a different request.
struct OnceMismatch {};
// The owner cannot decide now. The send was not recorded, or it was recorded
// and its node will give the claim back.
struct OnceUndecided {};
// Redirects the sender to the node that is believed to own the key.
struct OnceRedirect {
  NodeId owner;
};

using OnceVerdict = std::variant<OnceGranted,
                                 OnceReplayed,
                                 OnceAnswerEvicted,
                                 OnceEarlierUnknown,
                                 OnceStillRunning,
                                 OnceMismatch,
                                 OnceUndecided,
                                 OnceRedirect>;

// Asks the owner for permission to run. Sent with the same claim id until
// answered.
struct OnceClaimRequest {
  OnceClaimId claim;
  // The key prefixed with the contract's id by the node, at most
  // `kMaxOnceKeyLength` bytes long.
  IdempotencyKey key;
  Fingerprint fingerprint;
  // Maximum time from now until the send has ended. After it, the owner treats
  // an unreported outcome as unknown.
  Duration max_run_duration;
  // Highest revision of the key-value service that the sender has seen. It lets
  // the receiver detect that the service was restored to an earlier state.
  Revision seen;
};

struct OnceClaimReply {
  OnceClaimId claim;
  OnceVerdict verdict;
  Revision seen;
};

// Reports how a granted or abandoned claim ended. Sent until acknowledged.
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

// A message of a node to itself is delivered locally.
using OncePeerSend = PeerSend<OnceMessage>;

// Longer keys are hashed by the node before they are sent to the owner.
inline constexpr std::size_t kMaxOnceKeyLength = 160;

}  // namespace gcw

#endif  // COORDINATION_AT_MOST_ONCE_ONCE_MESSAGES_H_
