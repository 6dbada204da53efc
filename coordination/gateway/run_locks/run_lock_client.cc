#include "coordination/gateway/run_locks/run_lock_client.h"

#include <iterator>

namespace gcw {

RunLockClient::RunLockClient(RunLockSettings settings, ChooseOwner choose_owner)
    : settings_(settings),
      choose_owner_(std::move(choose_owner)),
      harmless_(settings.max_harmless) {}

void RunLockClient::Wait(Time now, ForwardId id, Fingerprint fingerprint) {
  by_request_[id] = fingerprint;
  Lock& lock = locks_[fingerprint];
  lock.waiters.push_back({id, now + settings_.max_wait});
  if (!lock.holder && !lock.is_claimed) {
    Claim(fingerprint, lock);
  }
}

void RunLockClient::Claim(Fingerprint fingerprint, Lock& lock) {
  ++last_number_;
  lock.owner = choose_owner_(fingerprint);
  lock.number = last_number_;
  lock.is_claimed = true;
  claims_.push_back({lock.owner, fingerprint, lock.number, settings_.max_wait});
}

void RunLockClient::OnReply(Time now,
                            Fingerprint fingerprint,
                            RunLockClaimNumber number,
                            RunLockAnswer answer) {
  const auto found = locks_.find(fingerprint);
  const bool is_pending = found != locks_.end() && found->second.is_claimed &&
                          found->second.number == number;
  if (!is_pending) {
    return;
  }
  Lock& lock = found->second;
  lock.is_claimed = false;
  if (answer == RunLockAnswer::kHarmless) {
    harmless_.OnProven(now, fingerprint);
  }
  if (answer != RunLockAnswer::kGranted) {
    DecideAll(lock);
    locks_.erase(found);
    return;
  }
  if (lock.waiters.empty()) {
    Release(fingerprint, lock, RunOutcome::kUnknown);
    locks_.erase(found);
    return;
  }
  lock.holder = lock.waiters.front().id;
  lock.waiters.pop_front();
  decided_.push_back(*lock.holder);
}

void RunLockClient::DecideAll(Lock& lock) {
  for (const Waiter& waiter : lock.waiters) {
    by_request_.erase(waiter.id);
    decided_.push_back(waiter.id);
  }
  lock.waiters.clear();
}

void RunLockClient::Release(Fingerprint fingerprint,
                            Lock& lock,
                            RunOutcome outcome) {
  releases_.push_back({lock.owner, fingerprint, lock.number, outcome});
  lock.holder.reset();
}

void RunLockClient::OnOutcome(Time now, ForwardId id, RunOutcome outcome) {
  const auto request = by_request_.find(id);
  if (request == by_request_.end()) {
    return;
  }
  if (outcome == RunOutcome::kHarmless) {
    harmless_.OnProven(now, request->second);
  }
  End(id, outcome);
}

void RunLockClient::End(ForwardId id, RunOutcome outcome) {
  const auto request = by_request_.find(id);
  if (request == by_request_.end()) {
    return;
  }
  const Fingerprint fingerprint = request->second;
  by_request_.erase(request);
  const auto found = locks_.find(fingerprint);
  if (found == locks_.end()) {
    return;
  }
  Lock& lock = found->second;
  if (lock.holder != id) {
    std::erase_if(lock.waiters,
                  [id](const Waiter& waiter) { return waiter.id == id; });
    return;
  }
  Release(fingerprint, lock, outcome);
  if (outcome != RunOutcome::kUnknown) {
    DecideAll(lock);
  }
  if (lock.waiters.empty()) {
    locks_.erase(found);
  } else {
    Claim(fingerprint, lock);
  }
}

void RunLockClient::Tick(Time now) {
  for (auto it = locks_.begin(); it != locks_.end();) {
    Lock& lock = it->second;
    while (!lock.waiters.empty() && now >= lock.waiters.front().deadline) {
      const ForwardId id = lock.waiters.front().id;
      lock.waiters.pop_front();
      by_request_.erase(id);
      decided_.push_back(id);
    }
    const bool is_unused =
        lock.waiters.empty() && !lock.holder && !lock.is_claimed;
    it = is_unused ? locks_.erase(it) : std::next(it);
  }
}

std::vector<RunLockClient::OutgoingClaim> RunLockClient::TakeClaims() {
  return std::exchange(claims_, {});
}

std::vector<RunLockClient::OutgoingRelease> RunLockClient::TakeReleases() {
  return std::exchange(releases_, {});
}

std::vector<ForwardId> RunLockClient::TakeDecided() {
  return std::exchange(decided_, {});
}

}  // namespace gcw
