#ifndef COORDINATION_REQUESTS_GUARD_MESSAGES_H_
#define COORDINATION_REQUESTS_GUARD_MESSAGES_H_

#include <optional>
#include <variant>
#include <vector>

#include "coordination/actions.h"
#include "coordination/membership/membership_messages.h"
#include "state/state.h"

namespace gcw {

// Asks the permit issuer for an endpoint at which the suspect runs as the only
// suspect. Sent until answered, and as a renewal while the attempt runs.
struct PermitRequest {
  AttemptId attempt;
  Fingerprint fingerprint;
  // In order of preference.
  std::vector<EndpointId> candidates;
  // The endpoint at which the attempt runs with an earlier permit, or empty if
  // it does not run yet.
  EndpointId running_at;
};

struct PermitGranted {
  EndpointId endpoint;
};
// Another copy is running, or every candidate already runs a suspect.
struct PermitWait {};
// The fingerprint is blocked.
struct PermitBlocked {};

using PermitVerdict = std::variant<PermitGranted, PermitWait, PermitBlocked>;

struct PermitReply {
  AttemptId attempt;
  PermitVerdict verdict;
};

// The attempt has ended.
struct PermitDone {
  AttemptId attempt;
  // Set if the endpoint was lost during the attempt.
  std::optional<FingerprintDelta> loss;
};

using GuardMessage = std::variant<PermitRequest, PermitReply, PermitDone>;
using GuardPeerSend = PeerSend<GuardMessage>;

}  // namespace gcw

#endif  // COORDINATION_REQUESTS_GUARD_MESSAGES_H_
