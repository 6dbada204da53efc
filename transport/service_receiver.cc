#include "transport/service_receiver.h"

#include <algorithm>
#include <array>
#include <utility>

#include <boost/beast/core/string.hpp>

#include "protocol/protocol.h"

namespace gcw {
namespace {

constexpr int kStatusUnavailable = 503;

// Hop-by-hop headers (RFC 9110, section 7.6.1) and headers that the node sets
// itself. A caller's key must not be passed beyond the node.
constexpr std::array<std::string_view, 14> kUnforwardedHeaders = {
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "host",
    "content-length",
    "authorization",
    "x-gcw-attempt",
    "x-gcw-not-run",
    "x-gcw-timeout-ms",
};

}  // namespace

bool IsForwardedHeader(std::string_view name) {
  return std::none_of(
      kUnforwardedHeaders.begin(), kUnforwardedHeaders.end(),
      [name](std::string_view unforwarded) {
        return boost::beast::iequals(
            boost::beast::string_view(name.data(), name.size()),
            boost::beast::string_view(unforwarded.data(), unforwarded.size()));
      });
}

ServiceReceiver::ServiceReceiver(RequestId id,
                                 HttpRequest request,
                                 std::shared_ptr<HttpResponder> responder)
    : id_(std::move(id)),
      request_(std::move(request)),
      responder_(std::move(responder)) {}

HttpRequest ServiceReceiver::Start(const DispatchAttempt& dispatch) {
  attempt_ = dispatch.attempt;
  keep_answer_ = dispatch.keep_answer;
  answer_ = HttpResponse();
  attempt_echoed_ = false;
  HttpRequest request = request_;
  request.headers.push_back(
      HttpHeader{std::string(kAttemptHeader), attempt_.value()});
  return request;
}

void ServiceReceiver::OnHead(const HttpResponse& head) {
  answer_.status = head.status;
  answer_.headers = head.headers;
  attempt_echoed_ = head.Header(kAttemptHeader) == attempt_.value();
}

bool ServiceReceiver::OnBody(std::string_view chunk) {
  answer_.body.append(chunk);
  return attempt_echoed_;
}

AttemptEnd ServiceReceiver::OnEnd() {
  if (!attempt_echoed_) {
    return AttemptFailed{AttemptFailureKind::kMalformed,
                         AttemptProgress::kAnswerBegun, TokenCount()};
  }
  if (answer_.status == kStatusUnavailable &&
      answer_.Header(kNotRunHeader) == "1") {
    return AttemptRefused{};
  }
  std::erase_if(answer_.headers, [](const HttpHeader& header) {
    return !IsForwardedHeader(header.name);
  });
  AttemptAnswered answered;
  if (keep_answer_ && answer_.body.size() <= kMaxKeptBytes) {
    OnceAnswer kept;
    kept.status = answer_.status;
    kept.body = answer_.body;
    for (const HttpHeader& header : answer_.headers) {
      kept.headers.push_back(OnceHeader{header.name, header.value});
    }
    answered.answer = std::move(kept);
  }
  answer_.headers.push_back(HttpHeader{"X-Gcw-Request", id_.value()});
  responder_->Respond(std::move(answer_));
  return answered;
}

}  // namespace gcw
