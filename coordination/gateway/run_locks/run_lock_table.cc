#include "coordination/gateway/run_locks/run_lock_table.h"

#include <algorithm>
#include <iterator>

namespace gcw {

RunLockTable::RunLockTable(RunLockSettings settings)
    : settings_(settings), harmless_(settings.max_harmless) {}

void RunLockTable::Claim(Time now, const RunLockClaim& claim) {
  if (harmless_.Contains(claim.fingerprint)) {
    replies_.push_back({claim.id, {RunLockAnswer::kHarmless, {}}});
    return;
  }
  const auto found = locks_.find(claim.fingerprint);
  if (found == locks_.end()) {
    if (locks_.size() < settings_.max_locks) {
      Grant(now, locks_[claim.fingerprint], claim);
    } else {
      replies_.push_back({claim.id, {RunLockAnswer::kGranted, {}}});
    }
    return;
  }
  Lock& lock = found->second;
  // A holder that asks again has forgotten that it holds the lock.
  if (lock.holder == claim.node || now >= lock.expires) {
    Grant(now, lock, claim);
    return;
  }
  lock.waiters.push_back(
      {claim, now + std::min(claim.wait, settings_.max_wait)});
}

void RunLockTable::Grant(Time now, Lock& lock, const RunLockClaim& claim) {
  lock.holder = claim.node;
  lock.number = claim.number;
  lock.expires = now + settings_.ttl;
  replies_.push_back({claim.id, {RunLockAnswer::kGranted, {}}});
}

bool RunLockTable::GrantNext(Time now, Lock& lock) {
  if (lock.waiters.empty()) {
    return false;
  }
  const Waiter next = std::move(lock.waiters.front());
  lock.waiters.pop_front();
  Grant(now, lock, next.claim);
  return true;
}

void RunLockTable::ReplyToAll(const Lock& lock, const RunLockReply& reply) {
  for (const Waiter& waiter : lock.waiters) {
    replies_.push_back({waiter.claim.id, reply});
  }
}

void RunLockTable::Release(Time now, const RunLockRelease& release) {
  if (release.outcome == RunOutcome::kHarmless) {
    harmless_.OnProven(now, release.fingerprint);
  }
  const auto found = locks_.find(release.fingerprint);
  if (found == locks_.end()) {
    return;
  }
  Lock& lock = found->second;
  const bool is_holder =
      lock.holder == release.node && lock.number == release.number;
  switch (release.outcome) {
    case RunOutcome::kHarmless:
      ReplyToAll(lock, {RunLockAnswer::kHarmless, {}});
      locks_.erase(found);
      return;
    case RunOutcome::kSuspected:
      ReplyToAll(lock, {RunLockAnswer::kSuspected, release.notices});
      lock.waiters.clear();
      if (is_holder) {
        locks_.erase(found);
      }
      return;
    case RunOutcome::kUnknown:
      if (is_holder && !GrantNext(now, lock)) {
        locks_.erase(found);
      }
      return;
  }
}

void RunLockTable::Tick(Time now) {
  for (auto it = locks_.begin(); it != locks_.end();) {
    Lock& lock = it->second;
    const auto is_overdue = [&](const Waiter& waiter) {
      return now >= waiter.deadline;
    };
    for (const Waiter& waiter : lock.waiters) {
      if (is_overdue(waiter)) {
        replies_.push_back({waiter.claim.id, {RunLockAnswer::kBusy, {}}});
      }
    }
    std::erase_if(lock.waiters, is_overdue);
    const bool is_free = now >= lock.expires && !GrantNext(now, lock);
    it = is_free ? locks_.erase(it) : std::next(it);
  }
}

std::vector<RunLockTable::Reply> RunLockTable::TakeReplies() {
  return std::exchange(replies_, {});
}

}  // namespace gcw
