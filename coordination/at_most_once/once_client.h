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
  // Time after which an unanswered claim is asked again.
  Duration claim_retry = Duration::Millis(200);
  // Claims that are undecided for so long are given back and refused.
  Duration claim_timeout = Duration::Seconds(4);
  // The first byte must leave within this time of the first claim message,
  // judged by this node's clock right before the write. Must be far below
  // `OnceShardSettings::window`.
  Duration grant_time_to_live = Duration::Seconds(30);
  // A send that meets its predecessor still running waits so long for its
  // answer, asking again at `still_running_retry`.
  Duration wait_for_earlier = Duration::Seconds(10);
  Duration still_running_retry = Duration::Millis(250);
  // Reports of ended claims are repeated until acknowledged, so many times.
  Duration finish_retry = Duration::Millis(500);
  int most_finish_sends = 40;
  // Larger answers are not kept for a second send.
  std::size_t largest_answer_bytes = 65536;
  // When a refused caller should come back.
  Duration retry_after = Duration::Seconds(1);
};

// One send of a request that may not be repeated.
struct OnceSend {
  RequestId request;
  ContractId contract;
  // As the caller gave it. A request without one needs no claim: the node runs
  // it without asking here, since nobody else can send it again.
  IdempotencyKey key;
  Fingerprint fingerprint;
  Time deadline;
};

// The send may be dispatched; ask `MayWrite` right before its first byte.
struct OnceRun {
  RequestId request;
};
// Give the caller the first answer.
struct OnceReplay {
  RequestId request;
  OnceAnswer answer;
};
// This send was not run and will not be. `kOnceUnavailable` says nothing of
// earlier sends with the same key.
struct OnceRefuse {
  RequestId request;
  Refusal refusal;
};
// This send was not run; an earlier one ran (`certain`) or may have run, and
// its answer is not known here.
struct OnceTellEarlier {
  RequestId request;
  bool certain = false;
};

using OnceClientAction = std::
    variant<OncePeerSend, OnceRun, OnceReplay, OnceRefuse, OnceTellEarlier>;
using OnceClientActions = std::vector<OnceClientAction>;

// At the node that received the request: finds the key's owner, claims, and
// sees to it that a claim is used at most once.
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

  // Asked in `before_send` of every attempt, with a clock that counts suspended
  // time. False: write nothing, and report `OnceNotRun` by `Finish`.
  bool MayWrite(Time now, const RequestId& request);
  // How the dispatched send ended; once for each `OnceRun`.
  OnceClientActions Finish(Time now,
                           const RequestId& request,
                           OnceOutcome outcome);
  // The caller has gone or the request is given up before `OnceRun`.
  OnceClientActions Abandon(Time now, const RequestId& request);

  Revision seen() const { return seen_; }
  void OnRevisionSeen(Revision revision);
  std::size_t open_sends() const { return sends_.size(); }

 private:
  friend class Builder;
  OnceClient(OnceMember self, OnceClientSettings settings, EventSink events);

  struct Send {
    OnceSend send;
    // Empty where the caller gave no key.
    OnceClaimId claim;
    // The key in the contract's scope; empty where the caller gave none.
    IdempotencyKey key;
    // Time of the first claim message; the grant counts from here.
    Time first_sent;
    Time next_ask;
    int unanswered = 0;
    int redirects = 0;
    bool granted = false;
    // The owner said that an earlier send still runs.
    bool earlier_runs = false;
  };
  // An ended claim whose report is not acknowledged yet.
  struct OpenReport {
    OnceFinish finish;
    Time next_send;
    int sends = 0;
  };

  void Ask(Time now, Send& send, OnceClientActions& actions);
  NodeId OwnerOf(const IdempotencyKey& key) const;
  void ForgetOwner(const IdempotencyKey& key);
  void OnVerdict(Time now,
                 Send& send,
                 const OnceVerdict& verdict,
                 OnceClientActions& actions);
  void Run(Time now, Send& send, OnceClientActions& actions);
  bool GrantHolds(Time now, const Send& send) const;
  Time GivesUpAt(const Send& send) const;
  // Ends the send and reports its outcome to the owner.
  void End(Time now,
           const RequestId& request,
           OnceOutcome outcome,
           OnceClientActions& actions);
  // Ends a send that nothing has to be reported of.
  void Drop(const RequestId& request);
  void GiveBack(Time now,
                const RequestId& request,
                RefusalKind kind,
                OnceClientActions& actions);
  void Refuse(const RequestId& request,
              RefusalKind kind,
              OnceClientActions& actions);
  // A report reached a node that knows who owns the key.
  void RedirectReport(const OnceClaimReply& reply);
  void SendReport(Time now, OpenReport& report, OnceClientActions& actions);
  void Report(EventKind kind, const RequestId& request, std::string_view why);

  OnceMember self_;
  OnceClientSettings settings_;
  EventSink events_;
  std::vector<OnceMember> members_;
  std::unordered_map<RequestId, Send> sends_;
  std::unordered_map<OnceClaimId, RequestId> requests_;
  std::map<OnceClaimId, OpenReport> reports_;
  // Owners learnt from replies.
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
