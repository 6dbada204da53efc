#ifndef TRANSPORT_SERVICE_RECEIVER_H_
#define TRANSPORT_SERVICE_RECEIVER_H_

#include <memory>
#include <string>

#include "transport/answer_receiver.h"

namespace gcw {

// Receives a plain service's response and passes it to the caller once it is
// complete, so that a truncated response never reaches the caller.
class ServiceReceiver : public AnswerReceiver {
 public:
  // Maximum size of a response that is kept for a repeated send of the same
  // request.
  static constexpr std::size_t kMaxKeptBytes = 64UL * 1024;

  // `request` is the request to the service, without the attempt's headers.
  ServiceReceiver(RequestId id,
                  HttpRequest request,
                  std::shared_ptr<HttpResponder> responder);

  HttpRequest Start(const DispatchAttempt& dispatch) override;
  void OnHead(const HttpResponse& head) override;
  bool OnBody(std::string_view chunk) override;
  AttemptEnd OnEnd() override;
  TokenCount delivered() const override { return TokenCount(); }
  bool begun() const override { return false; }

 private:
  RequestId id_;
  HttpRequest request_;
  std::shared_ptr<HttpResponder> responder_;
  AttemptId attempt_;
  bool keep_answer_ = false;
  HttpResponse answer_;
  bool attempt_echoed_ = false;
};

// Returns false for headers that concern one connection only or that the node
// sets itself.
bool IsForwardedHeader(std::string_view name);

}  // namespace gcw

#endif  // TRANSPORT_SERVICE_RECEIVER_H_
