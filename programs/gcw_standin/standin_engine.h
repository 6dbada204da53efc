#ifndef PROGRAMS_GCW_STANDIN_STANDIN_ENGINE_H_
#define PROGRAMS_GCW_STANDIN_STANDIN_ENGINE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "programs/gcw_standin/batch.h"
#include "programs/gcw_standin/cache_event_log.h"
#include "programs/gcw_standin/engine_member.h"
#include "programs/gcw_standin/execution_counts.h"
#include "programs/gcw_standin/faults.h"
#include "programs/gcw_standin/ticket.h"
#include "programs/gcw_standin/value_history.h"
#include "protocol/protocol.h"

namespace gcw {

// A chat request with the values of its headers.
struct EngineCall {
  AttemptId attempt;
  ChatRequest chat;
  // If absent, any generation may serve the request.
  std::optional<Generation> generation;
  std::int64_t priority = 0;
  std::int64_t resume_from = 0;
  std::optional<Time> deadline;
};

// A token of a streamed answer.
struct SendToken {
  Ticket ticket;
  ChatToken token;
};
// The answer is complete. `answer` has the whole text unless it was streamed.
struct FinishAnswer {
  Ticket ticket;
  ChatAnswer answer;
};
// The answer is aborted and cannot be completed.
struct AbortAnswer {
  Ticket ticket;
};

enum class NotRunReason {
  // The group is not ready, or this VM does not have rank 0 in it.
  kNotServing,
  kOtherGeneration,
  kOtherModel,
  kQueueFull,
  kDeadline,
};

// The request was rejected without running.
struct RejectCall {
  Ticket ticket;
  NotRunReason reason = NotRunReason::kNotServing;
};

using EngineAction = std::variant<SendToken,
                                  FinishAnswer,
                                  AbortAnswer,
                                  RejectCall,
                                  PollMember,
                                  FetchWeights>;

struct EngineOrderResult {
  EngineOrderReply reply;
  std::vector<EngineAction> actions;
};

// The model engine of one VM, without I/O. It consists of the group membership,
// the batch (used at rank 0), the prefix cache and its events, delayed load
// reports, and counts of actual executions.
class StandinEngine {
 public:
  struct Settings {
    EngineMember::Settings member;
    Batch::Settings batch;
    CacheEventLog::Settings events;
    std::int64_t queue_limit = 256;
    Duration load_report_interval = Duration::Millis(50);
  };

  // `faults` must outlive the engine and may change at any time.
  StandinEngine(Settings settings, const Faults& faults);

  EngineOrderResult OnOrder(Time now, const EngineOrder& order);
  std::vector<EngineAction> OnChat(Time now, Ticket ticket, EngineCall call);
  // Drops the request of a caller that has disconnected.
  void DropRequest(Ticket ticket);
  // Cancels an attempt and aborts its answer. Returns false if no request of
  // that attempt is pending.
  bool OnCancel(const AttemptId& attempt, std::vector<EngineAction>& actions);
  std::vector<EngineAction> OnMemberStatus(Time now,
                                           const EngineStatus& status);
  void OnWeights(Time now, Generation generation);
  std::vector<EngineAction> Tick(Time now);

  EngineStatus Status(Time now) const;
  LoadReport DelayedLoadReport(Time now) const;
  CacheEventBatch CacheEvents(Time now, std::int64_t after) const;
  // Drops all cache events published so far, as the fault `cache_gap` does.
  void DropCacheEvents() { cache_events_.Drop(); }
  const ExecutionCounts& executions() const { return executions_; }

 private:
  struct PendingRequest {
    EngineCall call;
    std::string prompt;
    std::uint64_t prompt_hash = 0;
    std::string text;
    std::int64_t tokens_sent = 0;
  };

  std::optional<NotRunReason> FindRefusal(const EngineCall& call) const;
  BatchRequest MakeBatchRequest(Ticket ticket,
                                const PendingRequest& pending) const;
  void Apply(const BatchEvent& event, std::vector<EngineAction>& actions);
  void ApplyToken(const BatchToken& token, std::vector<EngineAction>& actions);
  void FinishRequest(Ticket ticket, std::vector<EngineAction>& actions);
  void Apply(const std::vector<MemberAction>& member_actions,
             std::vector<EngineAction>& actions);
  void AbortAll(std::vector<EngineAction>& actions);
  void RecordLoadReport(Time now);

  Settings settings_;
  const Faults* faults_;
  CacheEventLog cache_events_;
  EngineMember member_;
  Batch batch_;
  std::map<Ticket, PendingRequest> pending_requests_;
  ExecutionCounts executions_;
  ValueHistory<LoadReport> load_reports_;
  Time next_load_report_;
  // Time of the call in progress, for the hook of the prefix cache.
  Time now_;
};

}  // namespace gcw

#endif  // PROGRAMS_GCW_STANDIN_STANDIN_ENGINE_H_
