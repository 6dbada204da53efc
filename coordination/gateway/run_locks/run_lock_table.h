#ifndef COORDINATION_GATEWAY_RUN_LOCKS_RUN_LOCK_TABLE_H_
#define COORDINATION_GATEWAY_RUN_LOCKS_RUN_LOCK_TABLE_H_

#include <cstddef>
#include <deque>
#include <map>
#include <utility>
#include <vector>

#include "coordination/gateway/proof_log.h"
#include "coordination/gateway/run_locks/run_lock_messages.h"
#include "coordination/gateway/run_locks/run_lock_settings.h"

namespace gcw {

// The locks of the requests that this node owns. A lock has one holder at a
// time; other nodes wait for it in the order of their claims.
class RunLockTable {
 public:
  using Reply = std::pair<RunLockClaimId, RunLockReply>;

  explicit RunLockTable(RunLockSettings settings);

  void Claim(Time now, const RunLockClaim& claim);
  void Release(Time now, const RunLockRelease& release);
  void Tick(Time now);

  std::size_t size() const { return locks_.size(); }
  std::vector<Reply> TakeReplies();

 private:
  struct Waiter {
    RunLockClaim claim;
    Time deadline;
  };
  struct Lock {
    Address holder;
    RunLockClaimNumber number;
    Time expires;
    std::deque<Waiter> waiters;
  };

  void Grant(Time now, Lock& lock, const RunLockClaim& claim);
  // Grants the lock to the next waiter. Returns false if there is none.
  bool GrantNext(Time now, Lock& lock);
  void ReplyToAll(const Lock& lock, const RunLockReply& reply);

  RunLockSettings settings_;
  std::map<Fingerprint, Lock> locks_;
  ProofLog harmless_;
  std::vector<Reply> replies_;
};

}  // namespace gcw

#endif  // COORDINATION_GATEWAY_RUN_LOCKS_RUN_LOCK_TABLE_H_
