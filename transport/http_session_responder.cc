#include "transport/http_session_responder.h"

#include <utility>

#include "transport/http_server_session.h"

namespace gcw {

HttpSessionResponder::HttpSessionResponder(
    std::shared_ptr<HttpServerSession> session,
    std::uint64_t answer)
    : session_(std::move(session)), answer_(answer) {}

HttpSessionResponder::~HttpSessionResponder() {
  session_->outbox().LetGo(answer_);
}

void HttpSessionResponder::Respond(HttpResponse response) {
  session_->outbox().Respond(answer_, response);
}

void HttpSessionResponder::StartStream(int status,
                                       std::vector<HttpHeader> headers) {
  session_->outbox().StartStream(answer_, status, headers);
}

void HttpSessionResponder::Write(std::string chunk) {
  session_->outbox().Write(answer_, chunk);
}

void HttpSessionResponder::Finish() {
  session_->outbox().Finish(answer_);
}

void HttpSessionResponder::Abort() {
  session_->outbox().Abort(answer_);
}

std::size_t HttpSessionResponder::unsent_bytes() const {
  return session_->outbox().unsent_bytes(answer_);
}

void HttpSessionResponder::OnCallerGone(std::function<void()> hook) {
  if (const auto overdue =
          session_->outbox().SetHook(answer_, std::move(hook))) {
    overdue();
  }
}

}  // namespace gcw
