#ifndef COORDINATION_REQUESTS_GUARD_MESSAGES_H_
#define COORDINATION_REQUESTS_GUARD_MESSAGES_H_

#include <optional>
#include <variant>
#include <vector>

#include "coordination/actions.h"
#include "coordination/membership/membership_messages.h"
#include "state/state.h"

namespace gcw {

// Asks the permit desk for an endpoint on which a suspect may run alone among
// suspects. Repeated until answered, and as a sign of life while it runs.
struct PermitRequest {
  AttemptId attempt;
  Fingerprint fingerprint;
  // Best first.
  std::vector<EndpointId> candidates;
  // Where it runs already, by an earlier permit; empty before.
  EndpointId running_at;
};

struct PermitGranted {
  EndpointId endpoint;
};
// Another copy runs, or every candidate runs another suspect.
struct PermitWait {};
// The fingerprint is refused.
struct PermitBlocked {};

using PermitVerdict = std::variant<PermitGranted, PermitWait, PermitBlocked>;

struct PermitReply {
  AttemptId attempt;
  PermitVerdict verdict;
};

// The attempt has ended.
struct PermitDone {
  AttemptId attempt;
  // Present where its endpoint was lost with it.
  std::optional<FingerprintDelta> loss;
};

using GuardMessage = std::variant<PermitRequest, PermitReply, PermitDone>;
using GuardPeerSend = PeerSend<GuardMessage>;

}  // namespace gcw

#endif  // COORDINATION_REQUESTS_GUARD_MESSAGES_H_
