#ifndef COORDINATION_AT_MOST_ONCE_ONCE_CLIENT_H_
#define COORDINATION_AT_MOST_ONCE_ONCE_CLIENT_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <variant>
#include <vector>

#include "coordination/at_most_once/once_messages.h"
#include "coordination/at_most_once/once_placement.h"
#include "coordination/requests/request.h"

namespace gcw {

struct OnceClientSettings {
  std::int64_t shard_count = 64;
  // Interval at which an unanswered claim is sent again.
  Duration claim_retry = Duration::Millis(200);
  // A claim without a decision after this time is given back, and the send is
  // refused.
  Duration claim_timeout = Duration::Seconds(4);
  // The first byte of the request must be written within this time of the first
  // claim message, checked by this node's clock right before the write. Must be
  // far below `OnceShardSettings::window`.
  Duration grant_ttl = Duration::Seconds(30);
  // If an earlier send with the same key is still running, a send waits up to
  // `earlier_send_timeout` for its answer and asks again every
  // `still_running_retry`.
  Duration earlier_send_timeout = Duration::Seconds(10);
  Duration still_running_retry = Duration::Millis(250);
  // The report of an ended claim is sent every `finish_retry` until
  // acknowledged, at most `max_finish_sends` times.
  Duration finish_retry = Duration::Millis(500);
  int max_finish_sends = 40;
  // Larger answers are not kept for replay.
  std::size_t max_answer_bytes = 65536;
  // Retry-after delay of refusals.
  Duration retry_after = Duration::Seconds(1);
};

// One send of a request that must run at most once.
struct OnceSend {
  RequestId request;
  ContractId contract;
  // The key as given by the caller. A request without a key needs no claim and
  // is granted at once, because no other node can receive a second send of it.
  IdempotencyKey key;
  Fingerprint fingerprint;
  Time deadline;
};

// The send may be dispatched. Call `MayWrite` right before its first byte is
// written.
struct OnceRun {
  RequestId request;
};
// The caller gets the answer of the first send.
struct OnceReplay {
  RequestId request;
  OnceAnswer answer;
};
// This send has not run and never will. `kOnceUnavailable` says nothing about
// earlier sends with the same key.
struct OnceRefuse {
  RequestId request;
  Refusal refusal;
};
// This send has not run. An earlier one ran (`certain`) or may have run, and
// its answer is not available.
struct OnceReportEarlier {
  RequestId request;
  bool certain = false;
};

using OnceClientAction = std::
    variant<OncePeerSend, OnceRun, OnceReplay, OnceRefuse, OnceReportEarlier>;
using OnceClientActions = std::vector<OnceClientAction>;

// Runs on the node that received the request: finds the owner of the key,
// claims the key, and makes sure that a claim is used at most once.
class OnceClient {
 public:
  class Builder;

  OnceClientActions OnMembers(Time now, std::vector<OnceMember> members);
  OnceClientActions Start(Time now, const OnceSend& send);
  OnceClientActions OnReply(Time now,
                            const NodeId& from,
                            const OnceClaimReply& reply);
  void OnFinishAck(const OnceFinishAck& ack);
  OnceClientActions Tick(Time now);

  // Called from `before_send` of every attempt, with a clock that also counts
  // suspended time. If false, nothing may be written and the caller of this
  // function reports `OnceNotRun` with `Finish`.
  bool MayWrite(Time now, const RequestId& request);
  // Reports how a dispatched send ended. Called once for each `OnceRun`.
  OnceClientActions Finish(Time now,
                           const RequestId& request,
                           OnceOutcome outcome);
  // Ends a send before `OnceRun`: the caller disconnected or the request was
  // given up.
  OnceClientActions Abandon(Time now, const RequestId& request);

  Revision seen() const { return seen_; }
  void OnRevisionSeen(Revision revision);
  std::size_t open_sends() const { return sends_.size(); }

 private:
  friend class Builder;
  OnceClient(OnceMember self, OnceClientSettings settings, EventSink events);

  struct Send {
    OnceSend send;
    // Empty if the caller gave no key.
    OnceClaimId claim;
    // The key prefixed with the contract's id, or empty if the caller gave
    // none.
    IdempotencyKey key;
    // Time of the first claim message, at which the grant's time to live
    // starts.
    Time first_sent;
    Time next_claim;
    int unanswered = 0;
    int redirects = 0;
    bool granted = false;
    // The owner replied that an earlier send is still running.
    bool earlier_running = false;
  };
  // The report of an ended claim that the owner has not acknowledged yet.
  struct PendingReport {
    OnceFinish finish;
    Time next_send;
    int sends = 0;
  };

  void SendClaim(Time now, Send& send, OnceClientActions& actions);
  NodeId OwnerOf(const IdempotencyKey& key) const;
  void ForgetOwner(const IdempotencyKey& key);
  void OnVerdict(Time now,
                 Send& send,
                 const OnceVerdict& verdict,
                 OnceClientActions& actions);
  void Run(Time now, Send& send, OnceClientActions& actions);
  bool GrantHolds(Time now, const Send& send) const;
  Time GiveUpTime(const Send& send) const;
  // Ends the send and reports its outcome to the owner.
  void End(Time now,
           const RequestId& request,
           OnceOutcome outcome,
           OnceClientActions& actions);
  // Ends a send without a report to the owner.
  void Drop(const RequestId& request);
  void GiveBack(Time now,
                const RequestId& request,
                RefusalKind kind,
                OnceClientActions& actions);
  void Refuse(const RequestId& request,
              RefusalKind kind,
              OnceClientActions& actions);
  // Updates the owner of a reported key after a redirect.
  void RedirectReport(const OnceClaimReply& reply);
  void SendReport(Time now, PendingReport& report, OnceClientActions& actions);
  void Report(EventKind kind, const RequestId& request, std::string_view why);

  OnceMember self_;
  OnceClientSettings settings_;
  EventSink events_;
  std::vector<OnceMember> members_;
  std::unordered_map<RequestId, Send> sends_;
  std::unordered_map<OnceClaimId, RequestId> requests_;
  std::map<OnceClaimId, PendingReport> reports_;
  // Shard owners learned from replies.
  std::map<OnceShardId, NodeId> owners_;
  std::int64_t last_claim_ = 0;
  Revision seen_;
};

class OnceClient::Builder {
 public:
  Builder& SetSelf(NodeId node, Incarnation incarnation);
  Builder& SetSettings(OnceClientSettings settings);
  Builder& SetEvents(EventSink events);
  std::unique_ptr<OnceClient> Build() const;

 private:
  OnceMember self_;
  OnceClientSettings settings_;
  EventSink events_ = DiscardEvents();
};

}  // namespace gcw

#endif  // COORDINATION_AT_MOST_ONCE_ONCE_CLIENT_H_
