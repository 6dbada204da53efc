#ifndef COORDINATION_GATEWAY_RUN_LOCKS_RUN_LOCK_MESSAGES_H_
#define COORDINATION_GATEWAY_RUN_LOCKS_RUN_LOCK_MESSAGES_H_

#include <cstdint>
#include <vector>

#include "coordination/gateway/crash_evidence.h"
#include "state/state.h"

namespace gcw {

// Identifies a pending claim at the owner of the lock.
using RunLockClaimId = StrongNumber<struct RunLockClaimIdTag>;
// Distinguishes a node's claims of the same lock.
using RunLockClaimNumber = StrongNumber<struct RunLockClaimNumberTag>;

// A node asks the owner of a request's lock for it.
struct RunLockClaim {
  RunLockClaimId id;
  Fingerprint fingerprint;
  // Where other nodes reach the node.
  Address node;
  RunLockClaimNumber number;
  // The owner replies within this time.
  Duration wait;
};

// How a run of a request ended, as far as its node can tell.
enum class RunOutcome { kUnknown, kHarmless, kSuspected };

// The holder gives the lock back.
struct RunLockRelease {
  Fingerprint fingerprint;
  Address node;
  RunLockClaimNumber number;
  RunOutcome outcome = RunOutcome::kUnknown;
  // What the holder knows of crashes under the request.
  std::vector<CrashNotice> notices;
};

enum class RunLockAnswer {
  kGranted,
  // The request is known not to crash endpoints and needs no lock.
  kHarmless,
  // An endpoint crashed under the last run.
  kSuspected,
  // Another node still holds the lock.
  kBusy,
  // The owner did not reply.
  kNoAnswer,
};

struct RunLockReply {
  RunLockAnswer answer = RunLockAnswer::kNoAnswer;
  std::vector<CrashNotice> notices;
};

}  // namespace gcw

#endif  // COORDINATION_GATEWAY_RUN_LOCKS_RUN_LOCK_MESSAGES_H_
