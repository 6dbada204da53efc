#include "transport/store_client.h"

#include <utility>

#include "protocol/protocol.h"
#include "transport/call_error.h"

namespace gcw {

namespace {

StoreReply ToReply(const StoreCall& call,
                   const Result<HttpResponse, HttpFailure>& answer) {
  if (!IsOk(answer)) {
    return StoreNoAnswer{};
  }
  const HttpResponse& response = ValueOf(answer);
  Decoded<StoreReply> decoded =
      DecodeStoreReply(call, response.status, response.body);
  if (!IsOk(decoded)) {
    return StoreNoAnswer{};
  }
  return std::move(ValueOf(decoded));
}

}  // namespace

StoreClient::StoreClient(boost::asio::io_context& context,
                         StoreClientSettings settings)
    : settings_(std::move(settings)),
      health_monitor_(std::make_shared<StoreHealthMonitor>(LogStoreHealth)),
      calls_(context),
      watches_(context) {}

void StoreClient::Call(const StoreCall& call, Done done) {
  const auto* watch = std::get_if<StoreWatch>(&call);
  Duration timeout = settings_.call_timeout;
  if (watch != nullptr) {
    timeout = timeout + watch->wait;
  }
  StoreCallMessage message = EncodeStoreCall(call);
  HttpRequest request{"POST",
                      std::string(message.path),
                      {{"Content-Type", "application/json"}},
                      std::move(message.body)};
  HttpClient& client = watch != nullptr ? watches_ : calls_;
  client.Fetch(settings_.address, std::move(request),
               OptionsWithTimeout(timeout),
               [monitor = health_monitor_, call, done = std::move(done)](
                   const Result<HttpResponse, HttpFailure>& answer) {
                 StoreReply reply = ToReply(call, answer);
                 monitor->Observe(reply);
                 done(std::move(reply));
               });
}

}  // namespace gcw
