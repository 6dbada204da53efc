#ifndef TRANSPORT_CHAT_RECEIVER_H_
#define TRANSPORT_CHAT_RECEIVER_H_

#include <functional>
#include <memory>
#include <string>

#include "protocol/protocol.h"
#include "transport/answer_receiver.h"

namespace gcw {

// Receives a model engine's stream and passes it to the caller as a stream or
// as a single response. A stream may span several attempts: each continues
// after the tokens received before.
class ChatReceiver : public AnswerReceiver {
 public:
  struct Request {
    RequestId id;
    ModelTarget target;
    // The body that the caller sent, already validated as a chat request.
    std::string body;
    TokenCount prompt_tokens;
    bool stream = false;
  };

  // `on_token` is called for each token before the token is sent.
  ChatReceiver(Request request,
               std::shared_ptr<HttpResponder> responder,
               std::function<void()> on_token);

  HttpRequest Start(const DispatchAttempt& dispatch) override;
  void OnHead(const HttpResponse& head) override;
  bool OnBody(std::string_view chunk) override;
  AttemptEnd OnEnd() override;
  TokenCount delivered() const override { return TokenCount(next_index_); }
  bool begun() const override { return begun_; }

 private:
  bool OnData(std::string_view data);
  void Deliver(ChatEvent event);
  AttemptEnd EndWithErrorStatus() const;
  AttemptAnswered FinishAnswer();

  Request request_;
  std::shared_ptr<HttpResponder> responder_;
  std::function<void()> on_token_;
  bool begun_ = false;
  std::int64_t next_index_ = 0;
  // The text received so far. It is collected only if the caller did not ask
  // for a stream or if the answer is kept for a repeated send.
  std::string text_;
  std::string finish_reason_;

  // State of the current attempt.
  AttemptId attempt_;
  bool keep_answer_ = false;
  int status_ = 0;
  bool attempt_echoed_ = false;
  SseParser parser_;
  // Body of a response with a status other than 200.
  std::string error_body_;
  bool stream_ended_ = false;
  bool failed_ = false;
};

}  // namespace gcw

#endif  // TRANSPORT_CHAT_RECEIVER_H_
