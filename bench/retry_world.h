#ifndef BENCH_RETRY_WORLD_H_
#define BENCH_RETRY_WORLD_H_

#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "bench/endpoint_model.h"
#include "coordination/coordination.h"

namespace gcw::bench {

// Retry behaviour of nodes and callers after a failure.
struct RetryPolicy {
  std::string name;
  // Maximum number of attempts that a node makes for one send of a caller.
  std::int64_t max_attempts = 3;
  bool has_budget = false;
  // Whether nodes refuse sends that cannot be answered in time, and cancel a
  // request at the engine once its caller has given up.
  bool passes_deadlines = false;
  // Whether refused callers are told when to retry; otherwise they retry at
  // once.
  bool plans_retry_after = false;
};

struct RetryScenario {
  std::string name;
  // Load before the fault, as a fraction of the engines' capacity.
  double load = 0.9;
  // Time from request to failure at a failing endpoint.
  double fail_after_millis = 10;
};

struct RetryFigures {
  // Ratio of calls answered in a time span to calls first made in it. The ratio
  // exceeds 1 while refused callers retry.
  double goodput_before = 0;
  double goodput_during = 0;
  double goodput_after = 0;
  // Fraction of the calls made during the fault that are answered at last.
  double answered_eventually = 0;
  // Attempts at endpoints per new call during the fault.
  double attempts_per_call = 0;
  // Fraction of all tokens that were generated for callers who had given up.
  double wasted_share = 0;
  // Time from the end of the fault until new calls are again answered at their
  // first send, or the whole remaining span if they never are.
  double recovery_seconds = 0;
};

// Simulates an outage in which a third of 65 endpoints fails every request for
// a while and then recovers. Callers send refused or late calls again, at most
// three times.
class RetryWorld {
 public:
  RetryWorld(const RetryScenario& scenario,
             const RetryPolicy& policy,
             std::uint64_t seed);
  RetryFigures Run();

 private:
  struct Node {
    std::unique_ptr<Router> router;
    std::unique_ptr<RetryBudget> budget;
    std::unique_ptr<RetryAfterPlanner> planner;
  };
  // A caller's request, over all its sends.
  struct Call {
    Micros created_at = 0;
    std::int64_t sends = 0;
    // Time of the answer; 0 until the call is answered.
    Micros answered = 0;
  };
  // One send of a call.
  struct Send {
    std::shared_ptr<Call> call;
    std::size_t node = 0;
    RequestProfile profile;
    std::int64_t answer_tokens = 0;
    std::int64_t attempts = 0;
    std::vector<EndpointId> excluded;
    // State of the current attempt.
    std::size_t replica = 0;
    std::uint64_t attempt = 0;
    DispatchTicket ticket;
    bool has_first_byte = false;
    bool is_over = false;
  };
  using SendPointer = std::shared_ptr<Send>;

  void MakeFleet();
  void PublishLoads();
  void TickNodes();
  void ScheduleCalls();
  void SendCall(const std::shared_ptr<Call>& call);
  void Dispatch(const SendPointer& send);
  void RunAtEngine(const SendPointer& send);
  void OnFirstToken(const SendPointer& send);
  void OnFinished(const SendPointer& send, DispatchTicket ticket);
  void OnFailed(const SendPointer& send, DispatchTicket ticket);
  bool MayRetry(const SendPointer& send);
  void OnDeadline(const SendPointer& send);
  void Refuse(const SendPointer& send, RefusalKind kind);
  void ScheduleRetry(const std::shared_ptr<Call>& call, Duration after);
  std::int64_t AnswerTokens();
  double Goodput(Micros from, Micros to) const;
  // Fractions of the calls made in a time span.
  double AnsweredAtFirstSend(Micros from, Micros to) const;
  double AnsweredEventually(Micros from, Micros to) const;
  double RecoverySeconds() const;

  RetryScenario scenario_;
  RetryPolicy policy_;
  EventQueue events_;
  Random random_;
  std::vector<std::unique_ptr<EndpointModel>> engines_;
  std::vector<bool> is_failing_;
  std::vector<Node> nodes_;
  double calls_per_second_ = 0;
  std::uint64_t next_attempt_ = 1;
  std::vector<std::shared_ptr<Call>> calls_;
  std::int64_t calls_in_fault_ = 0;
  std::int64_t attempts_in_fault_ = 0;
  std::int64_t useful_tokens_ = 0;
};

}  // namespace gcw::bench

#endif  // BENCH_RETRY_WORLD_H_
