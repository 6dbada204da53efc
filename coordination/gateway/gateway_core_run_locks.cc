// Run locks: this node claims the locks of requests that it is about to run,
// and grants those that it owns.

#include <utility>
#include <vector>

#include "coordination/gateway/gateway_core.h"
#include "coordination/rendezvous.h"

namespace gcw {

Address GatewayCore::ChooseRunLockOwner(Fingerprint fingerprint) const {
  std::vector<NodeId> nodes;
  nodes.reserve(view_.nodes().size());
  for (const auto& [id, node] : view_.nodes()) {
    if (!node.leaving) {
      nodes.push_back(id);
    }
  }
  const std::optional<NodeId> owner =
      RendezvousOwner(std::to_string(fingerprint.value()), nodes);
  return owner ? view_.nodes().at(*owner).peer_address
               : settings_.self.peer_address;
}

GatewayActions GatewayCore::OnRunLockClaim(Time now,
                                           const RunLockClaim& claim) {
  run_lock_table_.Claim(now, claim);
  return TakeRequestActions(now);
}

GatewayActions GatewayCore::OnRunLockRelease(Time now,
                                             const RunLockRelease& release) {
  crash_guard_.OnNotices(now, release.notices);
  run_lock_table_.Release(now, release);
  return TakeRequestActions(now);
}

GatewayActions GatewayCore::OnRunLockReply(Time now,
                                           const RunLockClaim& claim,
                                           const RunLockReply& reply) {
  crash_guard_.OnNotices(now, reply.notices);
  run_locks_.OnReply(now, claim.fingerprint, claim.number, reply.answer);
  return TakeRequestActions(now);
}

void GatewayCore::UpdateRunLocks(Time now) {
  while (ExchangeRunLocks(now)) {
  }
}

bool GatewayCore::ExchangeRunLocks(Time now) {
  // A lock is released before it is claimed again.
  const auto releases = run_locks_.TakeReleases();
  for (const RunLockClient::OutgoingRelease& release : releases) {
    SendRunLockRelease(now, release);
  }
  const auto claims = run_locks_.TakeClaims();
  for (const RunLockClient::OutgoingClaim& claim : claims) {
    SendRunLockClaim(now, claim);
  }
  const auto replies = run_lock_table_.TakeReplies();
  for (const auto& [id, reply] : replies) {
    const auto local = local_claims_.find(id);
    if (local == local_claims_.end()) {
      actions_.emplace_back(AnswerRunLockClaim{id, reply});
      continue;
    }
    const RunLockClaim claim = local->second;
    local_claims_.erase(local);
    crash_guard_.OnNotices(now, reply.notices);
    run_locks_.OnReply(now, claim.fingerprint, claim.number, reply.answer);
  }
  const std::vector<ForwardId> decided = run_locks_.TakeDecided();
  for (const ForwardId id : decided) {
    actions_.emplace_back(
        ContinueForward{id, forwards_.OnRunLockDecided(now, id)});
  }
  return !releases.empty() || !claims.empty() || !replies.empty() ||
         !decided.empty();
}

void GatewayCore::SendRunLockClaim(Time now,
                                   const RunLockClient::OutgoingClaim& claim) {
  RunLockClaim message;
  message.fingerprint = claim.fingerprint;
  message.node = settings_.self.peer_address;
  message.number = claim.number;
  message.wait = claim.wait;
  if (claim.owner != settings_.self.peer_address) {
    actions_.emplace_back(ClaimRunLock{claim.owner, std::move(message)});
    return;
  }
  last_local_claim_ = RunLockClaimId(last_local_claim_.value() - 1);
  message.id = last_local_claim_;
  local_claims_[message.id] = message;
  run_lock_table_.Claim(now, message);
}

void GatewayCore::SendRunLockRelease(
    Time now,
    const RunLockClient::OutgoingRelease& release) {
  RunLockRelease message;
  message.fingerprint = release.fingerprint;
  message.node = settings_.self.peer_address;
  message.number = release.number;
  message.outcome = release.outcome;
  if (release.outcome == RunOutcome::kSuspected) {
    message.notices = crash_guard_.NoticesOf(now, release.fingerprint);
  }
  if (release.owner == settings_.self.peer_address) {
    run_lock_table_.Release(now, message);
  } else {
    actions_.emplace_back(ReleaseRunLock{release.owner, std::move(message)});
  }
}

}  // namespace gcw
