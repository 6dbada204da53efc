#include "programs/gcw_load/request_sender.h"

#include <utility>

namespace gcw {
namespace {

// Added to the timeout that is sent to the node, so that the node's own timeout
// answer, which gives the reason, arrives first.
constexpr Duration kGracePeriod = Duration::Seconds(2);

HttpCallOptions CallOptions(const LoadSettings& settings, RequestKind kind) {
  const Duration limit = settings.timeout + kGracePeriod;
  return {.progress_timeout = limit,
          .deadline = limit,
          // A pooled connection may be dead, and a reservation may not be
          // repeated.
          .reuse_connection = kind != RequestKind::kReservation};
}

}  // namespace

RequestSender::RequestSender(LoadContext& context, RequestKind kind)
    : context_(context), kind_(kind) {}

void RequestSender::Send(HttpRequest request, HttpCallHandlers handlers) {
  request_ = std::move(request);
  handlers_ = std::move(handlers);
  TryNext();
}

void RequestSender::TryNext() {
  const auto address = context_.entries.Choose(tried_);
  if (!address) {
    std::exchange(handlers_, {}).on_failure(last_failure_);
    return;
  }
  if (!tried_.empty()) {
    context_.recorder.Record(
        [this](LoadTally& tally, KeyLedger&) { ++tally.of(kind_).moved; });
  }
  context_.client.Send(*address, request_,
                       CallOptions(context_.settings, kind_),
                       MakeHandlers(*address));
}

HttpCallHandlers RequestSender::MakeHandlers(const Address& address) {
  HttpCallHandlers handlers;
  const auto self = shared_from_this();
  handlers.on_head = [self](const HttpResponse& head) {
    self->handlers_.on_head(head);
  };
  handlers.on_body = [self](std::string_view chunk) {
    self->handlers_.on_body(chunk);
  };
  handlers.on_end = [self] { std::exchange(self->handlers_, {}).on_end(); };
  handlers.on_failure = [self, address](HttpFailure failure) {
    self->OnFailure(address, failure);
  };
  return handlers;
}

void RequestSender::OnFailure(const Address& address, HttpFailure failure) {
  last_failure_ = failure;
  if (failure.progress == HttpProgress::kNothingSent) {
    tried_.push_back(address);
    TryNext();
    return;
  }
  std::exchange(handlers_, {}).on_failure(failure);
}

std::vector<HttpHeader> CallerHeaders(const LoadSettings& settings,
                                      RequestKind kind) {
  std::vector<HttpHeader> headers{
      {"Content-Type", "application/json"},
      {"X-Gcw-Timeout-Ms", std::to_string(settings.timeout.millis())}};
  const Secret& key = IsTrial(kind) ? settings.trial_key : settings.paid_key;
  if (!key.empty()) {
    headers.push_back({"Authorization", "Bearer " + key.Reveal()});
  }
  return headers;
}

}  // namespace gcw
