#include "transport/chat_receiver.h"

#include <utility>

namespace gcw {
namespace {

constexpr int kStatusOk = 200;
constexpr int kStatusBadRequest = 400;
constexpr int kStatusConflict = 409;
constexpr int kStatusUnavailable = 503;
constexpr std::size_t kMaxErrorBodyBytes = 64UL * 1024;
constexpr std::string_view kEndOfStream = "[DONE]";

AttemptFailed Malformed(TokenCount delivered) {
  return AttemptFailed{AttemptFailureKind::kMalformed,
                       AttemptProgress::kAnswerBegun, delivered};
}

}  // namespace

ChatReceiver::ChatReceiver(Request request,
                           std::shared_ptr<HttpResponder> responder,
                           std::function<void()> on_token)
    : request_(std::move(request)),
      responder_(std::move(responder)),
      on_token_(std::move(on_token)) {}

HttpRequest ChatReceiver::Start(const DispatchAttempt& dispatch) {
  attempt_ = dispatch.attempt;
  keep_answer_ = dispatch.keep_answer;
  status_ = 0;
  attempt_echoed_ = false;
  parser_ = SseParser();
  error_body_.clear();
  stream_ended_ = false;
  failed_ = false;
  HttpRequest request;
  request.method = "POST";
  request.target = "/v1/chat/completions";
  const auto add = [&request](std::string_view name, std::string value) {
    request.headers.push_back(HttpHeader{std::string(name), std::move(value)});
  };
  add("Content-Type", "application/json");
  add(kAttemptHeader, attempt_.value());
  add(kGenerationHeader, std::to_string(dispatch.endpoint.generation.value()));
  add(kPriorityHeader, std::to_string(dispatch.priority.value()));
  add(kDeadlineHeader, std::to_string(dispatch.deadline.millis()));
  if (next_index_ > 0) {
    add(kResumeFromHeader, std::to_string(next_index_));
  }
  request.body = WriteEngineRequest(request_.body);
  return request;
}

void ChatReceiver::OnHead(const HttpResponse& head) {
  status_ = head.status;
  attempt_echoed_ = head.Header(kAttemptHeader) == attempt_.value();
}

bool ChatReceiver::OnBody(std::string_view chunk) {
  if (!attempt_echoed_) {
    return false;
  }
  if (status_ != kStatusOk) {
    error_body_.append(chunk);
    return error_body_.size() <= kMaxErrorBodyBytes;
  }
  const bool well_formed = parser_.Feed(chunk, [this](std::string_view data) {
    if (!failed_ && !OnData(data)) {
      failed_ = true;
    }
  });
  return well_formed && !failed_;
}

bool ChatReceiver::OnData(std::string_view data) {
  if (data == kEndOfStream) {
    stream_ended_ = true;
    return true;
  }
  Result<ChatEvent, ChatEventError> parsed = ParseChatEvent(data);
  if (!IsOk(parsed) || stream_ended_) {
    return false;
  }
  ChatEvent& event = ValueOf(parsed);
  if (event.attempt != attempt_) {
    return false;
  }
  if (event.index) {
    if (*event.index > next_index_) {
      return false;
    }
    if (*event.index < next_index_) {
      return true;
    }
    ++next_index_;
  }
  Deliver(std::move(event));
  return true;
}

void ChatReceiver::Deliver(ChatEvent event) {
  if (event.index) {
    on_token_();
  }
  if (!event.finish_reason.empty()) {
    finish_reason_ = event.finish_reason;
  }
  if (!request_.stream || keep_answer_) {
    text_ += event.content;
  }
  if (!request_.stream) {
    return;
  }
  if (!begun_) {
    begun_ = true;
    responder_->StartStream(kStatusOk,
                            {{"Content-Type", "text/event-stream"},
                             {"Cache-Control", "no-store"},
                             {"X-Gcw-Request", request_.id.value()}});
  }
  responder_->Write("data: " + WriteCallerEvent(std::move(event), request_.id) +
                    "\n\n");
}

AttemptEnd ChatReceiver::OnEnd() {
  if (!attempt_echoed_ || failed_) {
    return Malformed(delivered());
  }
  if (status_ == kStatusOk) {
    if (!stream_ended_) {
      // The engine ended its stream without the last event: the answer is
      // truncated although the HTTP response ended properly.
      return AttemptFailed{AttemptFailureKind::kTruncated,
                           AttemptProgress::kAnswerBegun, delivered()};
    }
    return FinishAnswer();
  }
  return EndWithErrorStatus();
}

AttemptEnd ChatReceiver::EndWithErrorStatus() const {
  const bool may_be_refusal =
      status_ == kStatusUnavailable || status_ == kStatusConflict;
  if (may_be_refusal && IsNotRunError(error_body_)) {
    return AttemptRefused{};
  }
  if (status_ >= kStatusBadRequest && status_ < kStatusConflict &&
      next_index_ == 0) {
    responder_->Respond(HttpResponse{status_,
                                     {{"Content-Type", "application/json"},
                                      {"X-Gcw-Request", request_.id.value()}},
                                     error_body_});
    return AttemptAnswered{};
  }
  return Malformed(delivered());
}

AttemptAnswered ChatReceiver::FinishAnswer() {
  AttemptAnswered answered;
  answered.generated = delivered();
  std::string completion;
  if (!request_.stream || keep_answer_) {
    completion =
        WriteChatCompletion(request_.id, request_.target, text_,
                            finish_reason_.empty() ? "stop" : finish_reason_,
                            request_.prompt_tokens, answered.generated);
  }
  if (keep_answer_) {
    answered.answer = OnceAnswer{
        kStatusOk, {{"Content-Type", "application/json"}}, completion};
  }
  if (!request_.stream) {
    responder_->Respond(HttpResponse{kStatusOk,
                                     {{"Content-Type", "application/json"},
                                      {"X-Gcw-Request", request_.id.value()}},
                                     std::move(completion)});
    return answered;
  }
  if (!begun_) {
    begun_ = true;
    responder_->StartStream(kStatusOk,
                            {{"Content-Type", "text/event-stream"},
                             {"X-Gcw-Request", request_.id.value()}});
  }
  responder_->Write(std::string(kChatStreamEnd));
  responder_->Finish();
  return answered;
}

}  // namespace gcw
