#ifndef TRANSPORT_SERVICE_RECEIVER_H_
#define TRANSPORT_SERVICE_RECEIVER_H_

#include <memory>
#include <string>

#include "transport/answer_receiver.h"

namespace gcw {

// Receives a plain service's answer and gives it to the caller once it is
// whole: a cut answer never reaches the caller.
class ServiceReceiver : public AnswerReceiver {
 public:
  // Largest answer that is kept for a second send of the same request.
  static constexpr std::size_t kMaxKeptBytes = 64UL * 1024;

  // `request` is as it goes to the service, without the attempt's headers.
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
  bool echoed_ = false;
};

// Whether a header concerns one connection only, or is the node's own to set.
bool IsForwardedHeader(std::string_view name);

}  // namespace gcw

#endif  // TRANSPORT_SERVICE_RECEIVER_H_
