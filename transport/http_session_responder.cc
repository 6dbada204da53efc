#include "transport/http_session_responder.h"

#include <utility>

#include "transport/http_server_session.h"

namespace gcw {

HttpSessionResponder::HttpSessionResponder(
    std::shared_ptr<HttpServerSession> session,
    std::uint64_t response_id)
    : session_(std::move(session)), response_id_(response_id) {}

HttpSessionResponder::~HttpSessionResponder() {
  session_->outbox().OnResponderReleased(response_id_);
}

void HttpSessionResponder::Respond(HttpResponse response) {
  session_->outbox().Respond(response_id_, response);
}

void HttpSessionResponder::StartStream(int status,
                                       std::vector<HttpHeader> headers) {
  session_->outbox().StartStream(response_id_, status, headers);
}

void HttpSessionResponder::Write(std::string chunk) {
  session_->outbox().Write(response_id_, chunk);
}

void HttpSessionResponder::Finish() {
  session_->outbox().Finish(response_id_);
}

void HttpSessionResponder::Abort() {
  session_->outbox().Abort(response_id_);
}

std::size_t HttpSessionResponder::unsent_bytes() const {
  return session_->outbox().unsent_bytes(response_id_);
}

void HttpSessionResponder::OnCallerGone(std::function<void()> hook) {
  if (const auto missed_hook =
          session_->outbox().SetCallerGoneHook(response_id_, std::move(hook))) {
    missed_hook();
  }
}

}  // namespace gcw
