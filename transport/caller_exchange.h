#ifndef TRANSPORT_CALLER_EXCHANGE_H_
#define TRANSPORT_CALLER_EXCHANGE_H_

#include <functional>
#include <memory>

#include <boost/asio/io_context.hpp>
#include <boost/asio/strand.hpp>

#include "coordination/coordination.h"
#include "transport/answer_receiver.h"
#include "transport/http_client.h"
#include "transport/http_types.h"

namespace gcw {

// The final responses that the core can give to a caller.
using FinalResponse = std::variant<RespondRefused,
                                   RespondOutcomeUnknown,
                                   RespondStreamBroken,
                                   RespondPreempted,
                                   RespondReplay,
                                   RespondDuplicate>;

// One caller's request on the traffic threads: runs the attempts that the core
// decides on and ensures that the caller gets exactly one response.
class CallerExchange : public std::enable_shared_from_this<CallerExchange> {
 public:
  struct Hooks {
    // Passes an event to the core; callable from any thread.
    std::function<void(NodeEvent)> post;
    // Includes the time for which the machine is suspended.
    Clock clock;
  };

  CallerExchange(boost::asio::io_context& context,
                 HttpClient& client,
                 RequestId id,
                 std::shared_ptr<HttpResponder> responder,
                 std::unique_ptr<AnswerReceiver> receiver,
                 HttpCallOptions options,
                 Hooks hooks);

  // All of these methods are callable from any thread.
  void Dispatch(DispatchAttempt dispatch);
  void Cancel(AttemptId attempt);
  void SendFinalResponse(FinalResponse answer);
  void OnCallerGone();

 private:
  // A stream with more unsent bytes than this is aborted. Without a limit, a
  // caller that reads too slowly would fill the memory.
  static constexpr std::size_t kMaxUnsentBytes = 4UL * 1024 * 1024;

  void StartAttempt(const DispatchAttempt& dispatch);
  HttpCallHandlers MakeHandlers(const DispatchAttempt& dispatch);
  void OnBody(const AttemptId& attempt, std::string_view chunk);
  void OnEnd(const AttemptId& attempt);
  void OnFailure(const AttemptId& attempt, const HttpFailure& failure);
  void EndAttempt(const AttemptId& attempt, AttemptEnd end);
  void SendFinalResponseOnStrand(const FinalResponse& answer);
  void Respond(int status, std::string body, Duration retry_after);
  void FailResponse(std::string_view type,
                    std::string_view message,
                    Duration retry_after);

  boost::asio::strand<boost::asio::io_context::executor_type> strand_;
  HttpClient& client_;
  RequestId id_;
  std::shared_ptr<HttpResponder> responder_;
  std::unique_ptr<AnswerReceiver> receiver_;
  HttpCallOptions options_;
  Hooks hooks_;

  AttemptId attempt_;
  std::shared_ptr<HttpCall> call_;
  bool first_byte_reported_ = false;
  // The response violated the protocol, and the call is being cancelled.
  bool malformed_ = false;
  bool finished_ = false;
};

}  // namespace gcw

#endif  // TRANSPORT_CALLER_EXCHANGE_H_
