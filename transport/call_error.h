#ifndef TRANSPORT_CALL_ERROR_H_
#define TRANSPORT_CALL_ERROR_H_

#include <functional>
#include <utility>
#include <variant>

#include "protocol/protocol.h"
#include "transport/http_client.h"

namespace gcw {

// The service returned an unexpected status; its body is not read.
struct UnexpectedStatus {
  int status = 0;
};

// Why a call to a service failed: no response arrived, its status was
// unexpected, or its body could not be decoded.
using CallError = std::variant<HttpFailure, UnexpectedStatus, CodecError>;

// Receives the result of a call, on a thread of the client's context.
template <typename Value>
using CallDone = std::function<void(Result<Value, CallError>)>;

// Makes a call and decodes the body of a 200 response with `decode`.
template <typename Value>
std::shared_ptr<HttpCall> FetchDecoded(
    HttpClient& client,
    const Address& address,
    const HttpRequest& request,
    const HttpCallOptions& options,
    Decoded<Value> (*decode)(std::string_view),
    CallDone<Value> done) {
  return client.Fetch(
      address, request, options,
      [decode, done = std::move(done)](
          const Result<HttpResponse, HttpFailure>& answer) {
        if (!IsOk(answer)) {
          done(CallError(ErrorOf(answer)));
          return;
        }
        if (ValueOf(answer).status != 200) {
          done(CallError(UnexpectedStatus{ValueOf(answer).status}));
          return;
        }
        Decoded<Value> decoded = decode(ValueOf(answer).body);
        if (!IsOk(decoded)) {
          done(CallError(ErrorOf(decoded)));
          return;
        }
        done(std::move(ValueOf(decoded)));
      });
}

// Returns the options of a small call that must finish within `timeout`.
inline HttpCallOptions OptionsWithTimeout(Duration timeout) {
  HttpCallOptions options;
  options.progress_timeout = timeout;
  options.deadline = timeout;
  return options;
}

}  // namespace gcw

#endif  // TRANSPORT_CALL_ERROR_H_
