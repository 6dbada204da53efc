#include "transport/engine_client.h"

#include <memory>
#include <string>
#include <utility>

namespace gcw {

namespace {

HttpRequest Get(std::string target) {
  return {"GET", std::move(target), {}, {}};
}

HttpRequest Post(std::string target, std::string body) {
  return {"POST",
          std::move(target),
          {{"Content-Type", "application/json"}},
          std::move(body)};
}

Result<EngineOrderReply, CallError> ToOrderReply(const HttpResponse& answer) {
  if (answer.status != 200 && answer.status != 409) {
    return CallError(UnexpectedStatus{answer.status});
  }
  Decoded<EngineOrderReply> decoded =
      DecodeEngineOrderReply(answer.status, answer.body);
  if (!IsOk(decoded)) {
    return CallError(ErrorOf(decoded));
  }
  return std::move(ValueOf(decoded));
}

}  // namespace

EngineClient::EngineClient(boost::asio::io_context& context)
    : client_(context) {}

void EngineClient::SendOrder(const Address& engine,
                             const EngineOrder& order,
                             Duration timeout,
                             std::function<bool()> may_send,
                             CallDone<EngineOrderReply> done) {
  HttpCallOptions options = OptionsWithTimeout(timeout);
  options.reuse_connection = false;
  auto answer = std::make_shared<HttpResponse>();
  HttpCallHandlers handlers;
  handlers.before_send = std::move(may_send);
  handlers.on_head = [answer](const HttpResponse& head) { *answer = head; };
  handlers.on_body = [answer](std::string_view chunk) {
    answer->body += chunk;
  };
  handlers.on_end = [answer, done] { done(ToOrderReply(*answer)); };
  handlers.on_failure = [done = std::move(done)](HttpFailure failure) {
    done(CallError(failure));
  };
  client_.Send(engine, Post("/orders", EncodeEngineOrder(order)), options,
               std::move(handlers));
}

void EngineClient::ReadStatus(const Address& engine,
                              Duration timeout,
                              CallDone<EngineStatus> done) {
  FetchDecoded<EngineStatus>(client_, engine, Get("/status"),
                             OptionsWithTimeout(timeout), DecodeEngineStatus,
                             std::move(done));
}

void EngineClient::ReadLoad(const Address& endpoint,
                            Duration timeout,
                            CallDone<LoadReport> done) {
  FetchDecoded<LoadReport>(client_, endpoint, Get("/load"),
                           OptionsWithTimeout(timeout), DecodeLoadReport,
                           std::move(done));
}

void EngineClient::ReadCacheEvents(const Address& engine,
                                   std::int64_t after,
                                   Duration timeout,
                                   CallDone<CacheEventBatch> done) {
  FetchDecoded<CacheEventBatch>(
      client_, engine, Get("/cache_events?after=" + std::to_string(after)),
      OptionsWithTimeout(timeout), DecodeCacheEvents, std::move(done));
}

void EngineClient::CancelAttempt(const Address& engine,
                                 const AttemptId& attempt,
                                 Duration timeout,
                                 CallDone<bool> done) {
  FetchDecoded<bool>(client_, engine, Post("/cancel", EncodeCancel(attempt)),
                     OptionsWithTimeout(timeout), DecodeCancelReply,
                     std::move(done));
}

void EngineClient::CloseIdleConnections(const Address& engine) {
  client_.CloseIdleConnections(engine);
}

}  // namespace gcw
