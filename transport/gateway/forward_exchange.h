#ifndef TRANSPORT_GATEWAY_FORWARD_EXCHANGE_H_
#define TRANSPORT_GATEWAY_FORWARD_EXCHANGE_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "coordination/coordination.h"
#include "protocol/protocol.h"
#include "transport/gateway/answer_memory.h"
#include "transport/gateway/gateway_dialect.h"
#include "transport/gateway/relay_headers.h"
#include "transport/http_client.h"

namespace gcw {

struct ForwardExchangeSettings {
  // The timeout for a new connection to an endpoint. A VM without power does
  // not answer, and the request loses this time waiting for it.
  Duration connect_timeout = Duration::Millis(350);
  // Answers other than forwarded event streams are buffered until they are
  // complete. An attempt whose answer is larger than this fails.
  std::size_t max_buffered_bytes = 8UL * 1024 * 1024;
  // What all of them may take together beyond `buffer_allowance` for each. An
  // attempt whose answer finds no room fails.
  std::size_t max_total_buffered_bytes = 32UL * 1024 * 1024;
  std::size_t buffer_allowance = 64UL * 1024;
  // An answer that is not forwarded as it arrives must end within this part of
  // the time that is left at its head, so that another attempt is possible. The
  // answer to a request that may not run again has all the time.
  double body_time_share = 0.5;
  // The same for the time until an answer that has begun has its head.
  Duration head_timeout = Duration::Seconds(1);
  // A caller that leaves more bytes of its stream unread counts as gone.
  std::size_t max_unsent_bytes = 4UL * 1024 * 1024;
};

// The final outcome of a request for its caller.
enum class ForwardOutcome {
  kAnswered,
  kRefused,
  kUnknown,
  kTruncated,
  kCallerDisconnected
};

std::string_view ForwardOutcomeName(ForwardOutcome outcome);

// Summarizes a finished request for metrics and the log.
struct ForwardSummary {
  ForwardId id;
  RequestId request;
  ForwardOutcome outcome = ForwardOutcome::kAnswered;
  int status = 0;
  // The endpoint of the last attempt; empty if there was no attempt.
  VmId vm;
  int attempts = 0;
  Duration time_to_first_byte;
  Duration total_time;
};

// Proxies one request of a caller: performs the steps that the core decides,
// attempt by attempt, and forwards the answer. A second attempt may run beside
// a silent one; the caller gets the events of the first that sends a new one.
// Not thread-safe.
class ForwardExchange : public std::enable_shared_from_this<ForwardExchange> {
 public:
  struct Parts {
    GatewayCore* core = nullptr;
    const GatewayDialect* dialect = nullptr;
    HttpClient* endpoints = nullptr;
    HttpClient* peers = nullptr;
    // Shared by all exchanges; null if there is no limit.
    std::shared_ptr<AnswerMemory> answer_memory;
    Clock clock;
    // Runs a task later on the thread of the exchanges.
    std::function<void(std::function<void()>)> post;
    // Performs what the core asks for after an event of the request.
    std::function<void()> run_actions;
    // Called once when the exchange has finished.
    std::function<void(const ForwardSummary&)> on_finished;
  };

  ForwardExchange(ForwardExchangeSettings settings,
                  Parts parts,
                  HttpRequest request,
                  std::shared_ptr<HttpResponder> responder);

  // Set before the start if another node passed the request on.
  void SetRelayTerms(RelayTerms terms) { relay_terms_ = std::move(terms); }

  // Passes the request to the core, performs the first step and returns the id
  // that the core assigned.
  ForwardId Start();
  bool is_finished() const { return finished_; }
  // Replaces the current attempt, which is lost, if the core has another one.
  void FailOver();
  // Starts a second attempt beside the current one if the core has one.
  void StartSecondAttempt();
  // Performs the step that ends the request's wait.
  void Continue(const ForwardStep& step);
  // Abandons the running attempts and performs the final step.
  void End(const ForwardStep& step);

 private:
  struct Attempt {
    // Distinguishes callbacks of this attempt from those of others.
    int number = 0;
    std::shared_ptr<HttpCall> call;
    // The endpoint; empty if the request is passed on to another node.
    VmId vm;
    bool is_relayed = false;
    bool streams = false;
    bool is_repeatable = false;
    Time deadline;
    std::optional<std::int64_t> resume_after;
    // What the other node's answer says.
    RelayAnswer relay_answer;
    HttpResponse head;
    AnswerHead answer;
    bool has_head = false;
    // The answer is an event stream that is forwarded as it arrives.
    bool streams_events = false;
    // An event of the answer arrived.
    bool has_events = false;
    std::string buffered_body;
    AnswerMemory::Reservation memory;
    std::optional<SseEventSplitter> splitter;
  };

  void PerformStep(const ForwardStep& step);
  void StartAttempt(Attempt& attempt, const SendForward& send);
  // Passes the request on to another node.
  void StartRelay(const RelayForward& relay);
  void BeginExchange(Attempt& attempt,
                     HttpClient& client,
                     const Address& address,
                     HttpRequest request,
                     const HttpCallOptions& options);
  // Returns the running attempt of this number, or null.
  Attempt* FindAttempt(int number);
  bool IsSecond(const Attempt& attempt) const;
  // Returns the answer's headers for the caller.
  std::vector<HttpHeader> TakeAnswerHeaders();
  void OnHead(Attempt& attempt, const HttpResponse& head);
  void OnBody(Attempt& attempt, std::string_view chunk);
  // The answer is too long, or there is no memory for it.
  void DropAnswer(Attempt& attempt);
  void LimitBodyTime(const Attempt& attempt) const;
  void OnEnd(Attempt& attempt);
  void OnFailure(Attempt& attempt, const HttpFailure& failure);
  ForwardEnd MakeEnd(const Attempt& attempt, ForwardEndKind kind) const;
  // The attempt may be the second one, which then ends by itself unless it has
  // the whole answer.
  void EndAttempt(Attempt& attempt,
                  ForwardEndKind kind,
                  bool closed_by_endpoint = false);
  // The second attempt has sent what the caller waits for: it replaces the
  // first one.
  void PromoteSecondAttempt();
  static void Cancel(Attempt& attempt);
  void CancelSecondAttempt();
  void RespondWithAnswer();
  void ForwardEvents(std::string events);
  void Respond(HttpResponse response, ForwardOutcome outcome);
  void OnCallerGone();
  void Finish(ForwardOutcome outcome, int status);

  const ForwardExchangeSettings settings_;
  const Parts parts_;
  HttpRequest request_;
  RequestId request_id_;
  std::optional<RelayTerms> relay_terms_;
  std::shared_ptr<HttpResponder> responder_;
  ForwardId id_;
  Attempt attempt_;
  // Runs beside `attempt_`.
  std::optional<Attempt> second_;
  int last_attempt_number_ = 0;
  Time arrived_;
  std::optional<Time> first_byte_;
  int attempts_ = 0;
  bool stream_started_ = false;
  std::optional<std::int64_t> last_event_;
  bool finished_ = false;
};

}  // namespace gcw

#endif  // TRANSPORT_GATEWAY_FORWARD_EXCHANGE_H_
