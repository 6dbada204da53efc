#ifndef COORDINATION_GUARD_MESSAGES_H_
#define COORDINATION_GUARD_MESSAGES_H_

#include <compare>
#include <cstdint>
#include <map>
#include <variant>
#include <vector>

#include "state/state.h"

namespace gcw {

// One run of an endpoint: an endpoint that came back and is lost again counts
// anew. Plain services carry the incarnation that their VM reports, or zero.
struct EndpointRun {
  EndpointId endpoint;
  Incarnation incarnation;

  friend auto operator<=>(const EndpointRun&, const EndpointRun&) = default;
};

enum class LossKind {
  // Many requests ran there, any of them may be the cause.
  kInCompany,
  // The fingerprint was the only suspect there.
  kAlone,
};

// What is known of one suspected fingerprint. Spread to every node; merging is
// commutative and idempotent.
struct SuspectRumor {
  Fingerprint fingerprint;
  // Grows when the fingerprint is cleared; a higher one replaces a lower one.
  std::int64_t version = 0;
  std::map<EndpointRun, LossKind> losses;
  // Time left until it is forgotten.
  Duration expires_in;

  friend bool operator==(const SuspectRumor&, const SuspectRumor&) = default;
};

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
};

using GuardMessage = std::variant<PermitRequest, PermitReply, PermitDone>;

struct GuardPeerSend {
  NodeId to;
  GuardMessage message;
};

}  // namespace gcw

#endif  // COORDINATION_GUARD_MESSAGES_H_
