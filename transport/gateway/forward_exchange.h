#ifndef TRANSPORT_GATEWAY_FORWARD_EXCHANGE_H_
#define TRANSPORT_GATEWAY_FORWARD_EXCHANGE_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "coordination/coordination.h"
#include "protocol/protocol.h"
#include "transport/gateway/gateway_dialect.h"
#include "transport/http_client.h"

namespace gcw {

struct ForwardExchangeSettings {
  // Longest wait for a new connection to an endpoint. A VM without power does
  // not answer; the time is lost to the request.
  Duration connect_timeout = Duration::Millis(350);
  // A plain service without a byte for this long is given up on where another
  // can take the request.
  Duration service_silence = Duration::Millis(500);
  // Answers of plain services are given whole, so they are held meanwhile.
  std::size_t most_held_bytes = 8UL * 1024 * 1024;
  // A stream's endpoint is not read while its caller has this much to take.
  std::size_t most_unsent_bytes = 256UL * 1024;
};

// How a request ended for its caller.
enum class ForwardOutcome { kAnswered, kRefused, kUnknown, kCut, kCallerGone };

std::string_view ForwardOutcomeName(ForwardOutcome outcome);

// One request of a caller, for metrics and the log.
struct ForwardSummary {
  ForwardId id;
  RequestId request;
  ForwardOutcome outcome = ForwardOutcome::kAnswered;
  int status = 0;
  // The endpoint of the last attempt; empty where there was none.
  VmId vm;
  int attempts = 0;
  Duration first_byte;
  Duration whole;
};

// One request of a caller: carries out what the core decides, attempt by
// attempt, and passes the answer on. Used on one thread.
class ForwardExchange : public std::enable_shared_from_this<ForwardExchange> {
 public:
  struct Parts {
    GatewayCore* core = nullptr;
    const GatewayDialect* dialect = nullptr;
    HttpClient* endpoints = nullptr;
    Clock clock;
    // The exchange is over.
    std::function<void(const ForwardSummary&)> on_over;
  };

  ForwardExchange(ForwardExchangeSettings settings,
                  Parts parts,
                  HttpRequest request,
                  std::shared_ptr<HttpResponder> responder);

  // Hands the request to the core. Returns its id.
  ForwardId Start();
  bool is_over() const { return over_; }
  // Ends the running attempt, which gives nothing, in favour of another.
  void Move();

 private:
  // What is known of the attempt under way.
  struct Attempt {
    std::shared_ptr<HttpCall> call;
    SendForward send;
    HttpResponse head;
    AnswerHead read;
    bool has_head = false;
    // The answer is a stream of events that is passed on as it comes.
    bool passes_events = false;
    std::string held;
    std::optional<EventCutter> cutter;
  };

  void Carry(const ForwardStep& step);
  void Send(const SendForward& send);
  void OnHead(const HttpResponse& head);
  void OnBody(std::string_view chunk);
  void OnEnd();
  void OnFailure(const HttpFailure& failure);
  void EndAttempt(ForwardEndKind kind);
  void PassWhole();
  void PassEvents(std::string_view events);
  void Respond(HttpResponse response, ForwardOutcome outcome);
  void OnCallerGone();
  void Finish(ForwardOutcome outcome, int status);

  const ForwardExchangeSettings settings_;
  const Parts parts_;
  HttpRequest request_;
  RequestId request_id_;
  std::shared_ptr<HttpResponder> responder_;
  ForwardId id_;
  Attempt attempt_;
  // Tells calls of the attempt under way from those of earlier ones.
  int attempt_number_ = 0;
  Time arrived_;
  std::optional<Time> first_byte_;
  int attempts_ = 0;
  bool stream_begun_ = false;
  std::optional<std::int64_t> last_event_;
  bool over_ = false;
};

}  // namespace gcw

#endif  // TRANSPORT_GATEWAY_FORWARD_EXCHANGE_H_
