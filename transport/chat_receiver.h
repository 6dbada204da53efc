#ifndef TRANSPORT_CHAT_RECEIVER_H_
#define TRANSPORT_CHAT_RECEIVER_H_

#include <functional>
#include <memory>
#include <string>

#include "protocol/protocol.h"
#include "transport/answer_receiver.h"

namespace gcw {

// Receives a model engine's stream and gives it to the caller, as a stream or
// whole. A stream goes on over attempts: each continues after the tokens that
// came before.
class ChatReceiver : public AnswerReceiver {
 public:
  struct Request {
    RequestId id;
    ModelTarget target;
    // As the caller sent it; known to be a chat request.
    std::string body;
    TokenCount prompt_tokens;
    bool stream = false;
  };

  // `on_token` is called for each token, before it goes out.
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
  AttemptEnd EndOfRefusal() const;
  AttemptAnswered FinishAnswer();

  Request request_;
  std::shared_ptr<HttpResponder> responder_;
  std::function<void()> on_token_;
  bool begun_ = false;
  std::int64_t next_index_ = 0;
  // The answer so far, where the caller did not ask for a stream.
  std::string text_;
  std::string finish_reason_;

  // Of the attempt that runs.
  AttemptId attempt_;
  bool keep_answer_ = false;
  int status_ = 0;
  bool echoed_ = false;
  SseParser parser_;
  // Of an answer that is no stream.
  std::string other_body_;
  bool done_ = false;
  bool failed_ = false;
};

}  // namespace gcw

#endif  // TRANSPORT_CHAT_RECEIVER_H_
