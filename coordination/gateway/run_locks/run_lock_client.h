#ifndef COORDINATION_GATEWAY_RUN_LOCKS_RUN_LOCK_CLIENT_H_
#define COORDINATION_GATEWAY_RUN_LOCKS_RUN_LOCK_CLIENT_H_

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

#include "coordination/gateway/forward_request.h"
#include "coordination/gateway/proof_log.h"
#include "coordination/gateway/run_locks/run_lock_messages.h"
#include "coordination/gateway/run_locks/run_lock_settings.h"

namespace gcw {

// This node's side of the locks that let one copy of a request run at a time in
// the whole fleet. They are for the time after a loss of all nodes that knew of
// crashes: copies that arrive at several nodes at once would each be taken for
// the first run of a sound request.
class RunLockClient {
 public:
  // Returns the node that owns the request's lock.
  using ChooseOwner = std::function<Address(Fingerprint)>;

  struct OutgoingClaim {
    Address owner;
    Fingerprint fingerprint;
    RunLockClaimNumber number;
    Duration wait;
  };
  struct OutgoingRelease {
    Address owner;
    Fingerprint fingerprint;
    RunLockClaimNumber number;
    RunOutcome outcome = RunOutcome::kUnknown;
  };

  RunLockClient(RunLockSettings settings, ChooseOwner choose_owner);

  // The request waits for the lock; `TakeDecided` tells when it may go on.
  void Wait(Time now, ForwardId id, Fingerprint fingerprint);
  void OnReply(Time now,
               Fingerprint fingerprint,
               RunLockClaimNumber number,
               RunLockAnswer answer);
  // The request's run shows whether it crashes endpoints.
  void OnOutcome(Time now, ForwardId id, RunOutcome outcome);
  // The request no longer waits or runs.
  void OnEnded(ForwardId id) { End(id, RunOutcome::kUnknown); }
  void Tick(Time now);

  bool IsHarmless(Fingerprint fingerprint) const {
    return harmless_.Contains(fingerprint);
  }

  std::vector<OutgoingClaim> TakeClaims();
  std::vector<OutgoingRelease> TakeReleases();
  // Returns the requests that need not wait any longer.
  std::vector<ForwardId> TakeDecided();

 private:
  struct Waiter {
    ForwardId id;
    Time deadline;
  };
  struct Lock {
    Address owner;
    RunLockClaimNumber number;
    // The claim is pending.
    bool is_claimed = false;
    std::optional<ForwardId> holder;
    std::deque<Waiter> waiters;
  };

  void Claim(Fingerprint fingerprint, Lock& lock);
  void Release(Fingerprint fingerprint, Lock& lock, RunOutcome outcome);
  // The request neither waits for a lock nor holds one from now on.
  void End(ForwardId id, RunOutcome outcome);
  // All requests that wait for the lock go on without it.
  void DecideAll(Lock& lock);

  RunLockSettings settings_;
  ChooseOwner choose_owner_;
  RunLockClaimNumber last_number_;
  std::map<Fingerprint, Lock> locks_;
  // The lock that each request waits for or holds.
  std::unordered_map<ForwardId, Fingerprint> by_request_;
  ProofLog harmless_;
  std::vector<OutgoingClaim> claims_;
  std::vector<OutgoingRelease> releases_;
  std::vector<ForwardId> decided_;
};

}  // namespace gcw

#endif  // COORDINATION_GATEWAY_RUN_LOCKS_RUN_LOCK_CLIENT_H_
