#include "coordination/requests/fingerprint_guard.h"

#include <algorithm>
#include <string_view>
#include <utility>

#include "coordination/rendezvous.h"

namespace gcw {

namespace {

// All suspects share one permit issuer. Only an issuer that knows every suspect
// can keep two of them on different endpoints.
constexpr std::string_view kIssuerKey = "fingerprint-permits";

}  // namespace

FingerprintGuard::FingerprintGuard(NodeId self,
                                   FingerprintGuardSettings settings,
                                   EventSink events)
    : self_(std::move(self)),
      settings_(settings),
      events_(std::move(events)),
      suspects_(settings.suspects),
      permit_issuer_(settings.permits) {}

void FingerprintGuard::OnMembers(Time now, const std::vector<NodeId>& members) {
  issuer_node_ = RendezvousOwner(kIssuerKey, members);
  if (issuer_node_ == self_) {
    permit_issuer_.Open(now);
  } else {
    permit_issuer_.Close();
  }
}

GuardVerdict FingerprintGuard::Classify(Time now,
                                        Fingerprint fingerprint) const {
  switch (suspects_.Level(now, fingerprint)) {
    case SuspectLevel::kBlocked:
      return GuardBlocked{};
    case SuspectLevel::kSuspect:
      return GuardSuspect{};
    case SuspectLevel::kNone:
      break;
  }
  if (IsProven(now, fingerprint)) {
    return GuardAllowed{};
  }
  const auto copies = copies_.find(fingerprint);
  if (copies == copies_.end()) {
    return GuardAllowed{};
  }
  return GuardPinned{copies->second.endpoint};
}

bool FingerprintGuard::IsProven(Time now, Fingerprint fingerprint) const {
  const auto found = proven_.find(fingerprint);
  return found != proven_.end() && now < found->second;
}

// Attempts --------------------------------------------------------------------

void FingerprintGuard::OnStarted(Time now,
                                 const AttemptId& attempt,
                                 Fingerprint fingerprint,
                                 const EndpointId& endpoint) {
  const bool permitted = permitted_.contains(attempt);
  Copies& copies = copies_[fingerprint];
  copies.endpoint = endpoint;
  ++copies.count;
  running_[attempt] =
      Running{fingerprint, endpoint, permitted, now + settings_.permit_renewal};
}

GuardActions FingerprintGuard::OnFinished(Time now,
                                          const AttemptId& attempt,
                                          bool completed) {
  GuardActions actions;
  const auto found = running_.find(attempt);
  if (found == running_.end()) {
    if (permitted_.erase(attempt) > 0) {
      SendToIssuer(PermitDone{attempt, std::nullopt}, actions);
    }
    return actions;
  }
  const Running running = found->second;
  Forget(attempt);
  if (running.permitted) {
    permitted_.erase(attempt);
    SendToIssuer(PermitDone{attempt, std::nullopt}, actions);
  }
  if (!completed) {
    return actions;
  }
  MarkProven(now, running.fingerprint);
  if (suspects_.Level(now, running.fingerprint) == SuspectLevel::kSuspect) {
    suspects_.Clear(now, running.fingerprint);
    BroadcastSuspect(now, running.fingerprint, actions);
  }
  return actions;
}

GuardActions FingerprintGuard::OnEndpointLost(Time now,
                                              const EndpointId& endpoint) {
  GuardActions actions;
  std::vector<std::pair<AttemptId, Running>> lost;
  for (const auto& [attempt, running] : running_) {
    if (running.endpoint == endpoint) {
      lost.emplace_back(attempt, running);
    }
  }
  for (const auto& [attempt, running] : lost) {
    Forget(attempt);
    AddLoss(now, running, actions);
    if (running.permitted) {
      permitted_.erase(attempt);
      SendToIssuer(
          PermitDone{attempt, suspects_.Delta(now, running.fingerprint)},
          actions);
    }
  }
  return actions;
}

void FingerprintGuard::Forget(const AttemptId& attempt) {
  const auto found = running_.find(attempt);
  const auto copies = copies_.find(found->second.fingerprint);
  if (--copies->second.count == 0) {
    copies_.erase(copies);
  }
  running_.erase(found);
}

void FingerprintGuard::MarkProven(Time now, Fingerprint fingerprint) {
  const Time expires = now + settings_.proven_ttl;
  proven_[fingerprint] = expires;
  proofs_.push_back(Proof{fingerprint, expires});
  while (proofs_.size() > settings_.max_proven) {
    DropOldestProof();
  }
}

void FingerprintGuard::DropOldestProof() {
  const Proof& oldest = proofs_.front();
  const auto found = proven_.find(oldest.fingerprint);
  if (found != proven_.end() && found->second == oldest.expires) {
    proven_.erase(found);
  }
  proofs_.pop_front();
}

void FingerprintGuard::AddLoss(Time now,
                               const Running& running,
                               GuardActions& actions) {
  const SuspectLevel before = suspects_.Level(now, running.fingerprint);
  if (running.permitted) {
    suspects_.AddSoleSuspectLoss(now, running.fingerprint);
  } else if (proven_.erase(running.fingerprint) == 0) {
    suspects_.AddSharedLoss(now, running.fingerprint);
  } else {
    // The fingerprint completed before, so another request is the likelier
    // cause. The next loss counts.
    return;
  }
  BroadcastSuspect(now, running.fingerprint, actions);
  if (before != SuspectLevel::kBlocked &&
      suspects_.Level(now, running.fingerprint) == SuspectLevel::kBlocked) {
    events_(EventDraft{EventKind::kFingerprintBlocked,
                       std::to_string(running.fingerprint.value()),
                       EventId(),
                       {EventField{"endpoint", running.endpoint.value()}}});
  }
}

void FingerprintGuard::BroadcastSuspect(Time now,
                                        Fingerprint fingerprint,
                                        GuardActions& actions) {
  actions.emplace_back(GuardBroadcast{suspects_.Delta(now, fingerprint)});
}

void FingerprintGuard::OnDelta(Time now, const FingerprintDelta& delta) {
  suspects_.Merge(now, delta);
}

void FingerprintGuard::SetAllowed(std::set<Fingerprint> allowed) {
  for (const Fingerprint fingerprint : allowed) {
    events_(EventDraft{EventKind::kFingerprintUnblocked,
                       std::to_string(fingerprint.value()),
                       EventId(),
                       {}});
  }
  suspects_.SetAllowed(std::move(allowed));
}

// Permits --------------------------------------------------------------------

GuardActions FingerprintGuard::RequestPermit(
    Time now,
    const AttemptId& attempt,
    Fingerprint fingerprint,
    std::vector<EndpointId> candidates) {
  GuardActions actions;
  PendingPermit& pending = pending_permits_[attempt];
  pending.request =
      PermitRequest{attempt, fingerprint, std::move(candidates), EndpointId()};
  pending.since = now;
  SendPermitRequest(now, pending, actions);
  return actions;
}

void FingerprintGuard::SendPermitRequest(Time now,
                                         PendingPermit& pending,
                                         GuardActions& actions) {
  pending.next_request = now + settings_.permit_retry;
  SendToIssuer(pending.request, actions);
}

void FingerprintGuard::SendToIssuer(GuardMessage message,
                                    GuardActions& actions) const {
  if (issuer_node_) {
    actions.emplace_back(GuardPeerSend{*issuer_node_, std::move(message)});
  }
}

GuardActions FingerprintGuard::OnMessage(Time now,
                                         const NodeId& from,
                                         const GuardMessage& message) {
  GuardActions actions;
  std::visit(Overloaded{
                 [&](const PermitRequest& request) {
                   actions.emplace_back(
                       GuardPeerSend{from, MakePermitReply(now, request)});
                 },
                 [&](const PermitReply& reply) { OnReply(reply, actions); },
                 [&](const PermitDone& done) { OnDone(now, done); },
             },
             message);
  return actions;
}

PermitReply FingerprintGuard::MakePermitReply(Time now,
                                              const PermitRequest& request) {
  const SuspectLevel level = suspects_.Level(now, request.fingerprint);
  return PermitReply{request.attempt,
                     permit_issuer_.Decide(now, request, level)};
}

// The permit issuer must count the loss before it grants the fingerprint's next
// permit. The gossiped delta alone might arrive too late.
void FingerprintGuard::OnDone(Time now, const PermitDone& done) {
  if (done.loss) {
    suspects_.Merge(now, *done.loss);
  }
  permit_issuer_.Release(done.attempt);
}

void FingerprintGuard::OnReply(const PermitReply& reply,
                               GuardActions& actions) {
  const auto pending = pending_permits_.find(reply.attempt);
  if (pending == pending_permits_.end()) {
    return;
  }
  if (const auto* granted = std::get_if<PermitGranted>(&reply.verdict)) {
    pending_permits_.erase(pending);
    permitted_[reply.attempt] = granted->endpoint;
    actions.emplace_back(GuardPermit{reply.attempt, granted->endpoint});
  } else if (std::holds_alternative<PermitBlocked>(reply.verdict)) {
    pending_permits_.erase(pending);
    Refuse(reply.attempt, actions);
  }
}

void FingerprintGuard::Refuse(const AttemptId& attempt, GuardActions& actions) {
  actions.emplace_back(GuardRefuse{
      attempt,
      Refusal{RefusalKind::kFingerprintBlocked, settings_.retry_after}});
}

void FingerprintGuard::RenewPermits(Time now, GuardActions& actions) {
  for (auto& [attempt, running] : running_) {
    if (running.permitted && now >= running.next_renewal) {
      running.next_renewal = now + settings_.permit_renewal;
      SendToIssuer(
          PermitRequest{attempt, running.fingerprint, {}, running.endpoint},
          actions);
    }
  }
}

GuardActions FingerprintGuard::Tick(Time now) {
  GuardActions actions;
  suspects_.Tick(now);
  permit_issuer_.Tick(now);
  while (!proofs_.empty() && proofs_.front().expires <= now) {
    DropOldestProof();
  }
  RenewPermits(now, actions);
  std::vector<AttemptId> expired;
  for (auto& [attempt, pending] : pending_permits_) {
    if (now - pending.since >= settings_.permit_timeout ||
        suspects_.Level(now, pending.request.fingerprint) ==
            SuspectLevel::kBlocked) {
      expired.push_back(attempt);
    } else if (now >= pending.next_request) {
      SendPermitRequest(now, pending, actions);
    }
  }
  for (const AttemptId& attempt : expired) {
    pending_permits_.erase(attempt);
    // The issuer may have granted the permit in the meantime.
    SendToIssuer(PermitDone{attempt, std::nullopt}, actions);
    Refuse(attempt, actions);
  }
  return actions;
}

FingerprintGuard::Builder& FingerprintGuard::Builder::SetSelf(NodeId self) {
  self_ = std::move(self);
  return *this;
}

FingerprintGuard::Builder& FingerprintGuard::Builder::SetSettings(
    FingerprintGuardSettings settings) {
  settings_ = settings;
  return *this;
}

FingerprintGuard::Builder& FingerprintGuard::Builder::SetEvents(
    EventSink events) {
  events_ = std::move(events);
  return *this;
}

std::unique_ptr<FingerprintGuard> FingerprintGuard::Builder::Build() const {
  // `std::make_unique` cannot call the private constructor.
  return std::unique_ptr<FingerprintGuard>(
      new FingerprintGuard(self_, settings_, events_));
}

}  // namespace gcw
