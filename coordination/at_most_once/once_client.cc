#include "coordination/at_most_once/once_client.h"

#include <algorithm>
#include <string>
#include <utility>

#include "coordination/at_most_once/issued_keys.h"

namespace gcw {

namespace {

// Number of redirects that are followed immediately. Later ones wait for the
// next retry, because nodes with different membership views can redirect a
// claim in a loop.
constexpr int kMaxRedirects = 3;
// Number of unanswered messages after which the cached owner is dropped.
constexpr int kMaxUnanswered = 2;

}  // namespace

OnceClient::OnceClient(OnceMember self,
                       OnceClientSettings settings,
                       EventSink events)
    : self_(std::move(self)), settings_(settings), events_(std::move(events)) {}

OnceClientActions OnceClient::OnMembers(Time now,
                                        std::vector<OnceMember> members) {
  members_ = std::move(members);
  std::erase_if(owners_, [&](const auto& known) {
    return std::none_of(
        members_.begin(), members_.end(),
        [&](const OnceMember& member) { return member.node == known.second; });
  });
  return Tick(now);
}

// Claiming -------------------------------------------------------------------

OnceClientActions OnceClient::Start(Time now, const OnceSend& send) {
  Send fresh;
  fresh.send = send;
  fresh.first_sent = now;
  OnceClientActions actions;
  if (send.key.empty()) {
    fresh.granted = true;
    sends_.insert_or_assign(send.request, std::move(fresh));
    actions.emplace_back(OnceRun{send.request});
    return actions;
  }
  fresh.claim = OnceClaimId(self_.node.value() + "/" +
                            std::to_string(self_.incarnation.value()) + "/" +
                            std::to_string(++last_claim_));
  fresh.key = ScopedOnceKey(send.contract, send.key);
  requests_[fresh.claim] = send.request;
  Send& stored =
      sends_.insert_or_assign(send.request, std::move(fresh)).first->second;
  SendClaim(now, stored, actions);
  return actions;
}

void OnceClient::SendClaim(Time now, Send& send, OnceClientActions& actions) {
  if (send.unanswered >= kMaxUnanswered) {
    ForgetOwner(send.key);
    send.unanswered = 0;
  }
  ++send.unanswered;
  send.next_claim = now + settings_.claim_retry;
  const Duration max_run_duration =
      std::max(send.send.deadline - now, settings_.grant_ttl);
  actions.emplace_back(
      OncePeerSend{OwnerOf(send.key),
                   OnceClaimRequest{send.claim, send.key, send.send.fingerprint,
                                    max_run_duration, seen_}});
}

NodeId OnceClient::OwnerOf(const IdempotencyKey& key) const {
  if (const auto issued = IssuedKey::ParseScoped(key)) {
    return issued->home;
  }
  const OnceShardId shard = OnceShardOf(key, settings_.shard_count);
  const auto known = owners_.find(shard);
  if (known != owners_.end()) {
    return known->second;
  }
  const auto preferred = PreferredOnceOwner(shard, members_);
  return preferred ? preferred->node : self_.node;
}

void OnceClient::ForgetOwner(const IdempotencyKey& key) {
  owners_.erase(OnceShardOf(key, settings_.shard_count));
}

OnceClientActions OnceClient::OnReply(Time now,
                                      const NodeId& from,
                                      const OnceClaimReply& reply) {
  OnRevisionSeen(reply.seen);
  OnceClientActions actions;
  const auto request = requests_.find(reply.claim);
  if (request == requests_.end()) {
    RedirectReport(reply);
    return actions;
  }
  Send& send = sends_.at(request->second);
  // Ignores repeated grants: a claim is used only once.
  if (send.granted) {
    return actions;
  }
  send.unanswered = 0;
  if (!std::holds_alternative<OnceRedirect>(reply.verdict) &&
      !std::holds_alternative<OnceUndecided>(reply.verdict)) {
    owners_[OnceShardOf(send.key, settings_.shard_count)] = from;
  }
  OnVerdict(now, send, reply.verdict, actions);
  return actions;
}

void OnceClient::OnVerdict(Time now,
                           Send& send,
                           const OnceVerdict& verdict,
                           OnceClientActions& actions) {
  const RequestId request = send.send.request;
  std::visit(Overloaded{
                 [&](const OnceGranted&) { Run(now, send, actions); },
                 [&](const OnceReplayed& replayed) {
                   Drop(request);
                   actions.emplace_back(OnceReplay{request, replayed.answer});
                   Report(EventKind::kOnceReplayed, request, "replayed");
                 },
                 [&](const OnceAnswerEvicted&) {
                   Drop(request);
                   actions.emplace_back(OnceReportEarlier{request, true});
                   Report(EventKind::kOnceReplayed, request, "answer_gone");
                 },
                 [&](const OnceEarlierUnknown&) {
                   Drop(request);
                   actions.emplace_back(OnceReportEarlier{request, false});
                   Report(EventKind::kOnceRefused, request, "earlier_unknown");
                 },
                 [&](const OnceStillRunning&) {
                   send.earlier_running = true;
                   send.next_claim = now + settings_.still_running_retry;
                 },
                 [&](const OnceMismatch&) {
                   Drop(request);
                   Refuse(request, RefusalKind::kOnceMismatch, actions);
                 },
                 // `Tick` sends the claim again or gives it back.
                 [&](const OnceUndecided&) {},
                 [&](const OnceRedirect& elsewhere) {
                   owners_[OnceShardOf(send.key, settings_.shard_count)] =
                       elsewhere.owner;
                   if (++send.redirects <= kMaxRedirects) {
                     SendClaim(now, send, actions);
                   }
                 },
             },
             verdict);
}

void OnceClient::Run(Time now, Send& send, OnceClientActions& actions) {
  // The request id is copied because `GiveBack` erases the send. The grant may
  // have expired: this node may have been suspended since it claimed.
  const RequestId request = send.send.request;
  if (!GrantHolds(now, send)) {
    GiveBack(now, request, RefusalKind::kOnceUnavailable, actions);
    return;
  }
  send.granted = true;
  actions.emplace_back(OnceRun{request});
  Report(EventKind::kOnceClaimed, request, "granted");
}

bool OnceClient::GrantHolds(Time now, const Send& send) const {
  return send.key.empty() || now < send.first_sent + settings_.grant_ttl;
}

// Running --------------------------------------------------------------------

bool OnceClient::MayWrite(Time now, const RequestId& request) {
  const auto found = sends_.find(request);
  return found != sends_.end() && found->second.granted &&
         GrantHolds(now, found->second);
}

OnceClientActions OnceClient::Finish(Time now,
                                     const RequestId& request,
                                     OnceOutcome outcome) {
  OnceClientActions actions;
  const auto found = sends_.find(request);
  if (found == sends_.end() || !found->second.granted) {
    return actions;
  }
  const auto* answered = std::get_if<OnceAnswered>(&outcome);
  if (answered != nullptr &&
      answered->answer.body.size() > settings_.max_answer_bytes) {
    outcome = OnceAnsweredTooLarge{};
  }
  End(now, request, std::move(outcome), actions);
  return actions;
}

OnceClientActions OnceClient::Abandon(Time now, const RequestId& request) {
  OnceClientActions actions;
  const auto found = sends_.find(request);
  if (found != sends_.end() && !found->second.granted) {
    End(now, request, OnceNotRun{}, actions);
  }
  return actions;
}

// After this call `MayWrite` is false for the request and a late grant finds no
// send, so a claim reported as not run can never run later.
void OnceClient::End(Time now,
                     const RequestId& request,
                     OnceOutcome outcome,
                     OnceClientActions& actions) {
  const Send send = sends_.at(request);
  Drop(request);
  if (send.key.empty()) {
    return;
  }
  PendingReport& report = reports_[send.claim];
  report.finish = OnceFinish{send.claim, send.key, std::move(outcome)};
  SendReport(now, report, actions);
}

void OnceClient::Drop(const RequestId& request) {
  const auto found = sends_.find(request);
  requests_.erase(found->second.claim);
  sends_.erase(found);
}

void OnceClient::GiveBack(Time now,
                          const RequestId& request,
                          RefusalKind kind,
                          OnceClientActions& actions) {
  End(now, request, OnceNotRun{}, actions);
  Refuse(request, kind, actions);
}

void OnceClient::Refuse(const RequestId& request,
                        RefusalKind kind,
                        OnceClientActions& actions) {
  actions.emplace_back(
      OnceRefuse{request, Refusal{kind, settings_.retry_after}});
  Report(EventKind::kOnceRefused, request, RefusalKindName(kind));
}

void OnceClient::SendReport(Time now,
                            PendingReport& report,
                            OnceClientActions& actions) {
  // The shard's owner may have changed since the claim.
  if (report.sends > 0 && report.sends % kMaxUnanswered == 0) {
    ForgetOwner(report.finish.key);
  }
  ++report.sends;
  report.next_send = now + settings_.finish_retry;
  actions.emplace_back(OncePeerSend{OwnerOf(report.finish.key), report.finish});
}

void OnceClient::RedirectReport(const OnceClaimReply& reply) {
  const auto report = reports_.find(reply.claim);
  const auto* elsewhere = std::get_if<OnceRedirect>(&reply.verdict);
  if (report == reports_.end() || elsewhere == nullptr) {
    return;
  }
  owners_[OnceShardOf(report->second.finish.key, settings_.shard_count)] =
      elsewhere->owner;
}

void OnceClient::OnFinishAck(const OnceFinishAck& ack) {
  reports_.erase(ack.claim);
}

OnceClientActions OnceClient::Tick(Time now) {
  OnceClientActions actions;
  std::vector<RequestId> expired;
  for (auto& [request, send] : sends_) {
    if (send.granted) {
      continue;
    }
    if (now >= GiveUpTime(send)) {
      expired.push_back(request);
    } else if (now >= send.next_claim) {
      SendClaim(now, send, actions);
    }
  }
  for (const RequestId& request : expired) {
    const bool earlier_running = sends_.at(request).earlier_running;
    GiveBack(now, request,
             earlier_running ? RefusalKind::kOnceInProgress
                             : RefusalKind::kOnceUnavailable,
             actions);
  }
  std::erase_if(reports_, [&](const auto& report) {
    return report.second.sends >= settings_.max_finish_sends &&
           now >= report.second.next_send;
  });
  for (auto& [claim, report] : reports_) {
    if (now >= report.next_send) {
      SendReport(now, report, actions);
    }
  }
  return actions;
}

Time OnceClient::GiveUpTime(const Send& send) const {
  const Duration timeout = send.earlier_running ? settings_.earlier_send_timeout
                                                : settings_.claim_timeout;
  return std::min(send.first_sent + timeout, send.send.deadline);
}

void OnceClient::OnRevisionSeen(Revision revision) {
  seen_ = std::max(seen_, revision);
}

void OnceClient::Report(EventKind kind,
                        const RequestId& request,
                        std::string_view why) {
  events_(EventDraft{
      kind, request.value(), EventId(), {EventField{"why", std::string(why)}}});
}

OnceClient::Builder& OnceClient::Builder::SetSelf(NodeId node,
                                                  Incarnation incarnation) {
  self_ = OnceMember{std::move(node), incarnation};
  return *this;
}

OnceClient::Builder& OnceClient::Builder::SetSettings(
    OnceClientSettings settings) {
  settings_ = settings;
  return *this;
}

OnceClient::Builder& OnceClient::Builder::SetEvents(EventSink events) {
  events_ = std::move(events);
  return *this;
}

std::unique_ptr<OnceClient> OnceClient::Builder::Build() const {
  // `std::make_unique` cannot call the private constructor.
  return std::unique_ptr<OnceClient>(new OnceClient(self_, settings_, events_));
}

}  // namespace gcw
