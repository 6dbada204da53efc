#ifndef TRANSPORT_HTTP_CLIENT_H_
#define TRANSPORT_HTTP_CLIENT_H_

#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>

#include "state/state.h"
#include "transport/http_types.h"

namespace gcw {

// One running exchange.
class HttpCall {
 public:
  virtual ~HttpCall() = default;
  // Ends the exchange and closes its connection; `on_failure` follows with
  // kCancelled unless the call has ended.
  virtual void Cancel() = 0;
  // Stops and resumes reading, so that a slow caller holds back the endpoint
  // instead of filling this process. While paused only the deadline counts.
  virtual void Pause() {}
  virtual void Resume() {}
};

// Makes HTTP/1.1 calls to endpoints. A connection carries one request at a time
// and returns to the pool only after an answer that ended properly, so that no
// caller can receive a piece of another's answer. May be used from any thread;
// calls that run when the client is destroyed go on to their end.
class HttpClient {
 public:
  explicit HttpClient(boost::asio::io_context& context);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  std::shared_ptr<HttpCall> Send(const Address& address,
                                 HttpRequest request,
                                 HttpCallOptions options,
                                 HttpCallHandlers handlers);

  // Collects the whole answer. `done` gets either the response or the failure.
  using FetchDone = std::function<void(Result<HttpResponse, HttpFailure>)>;
  std::shared_ptr<HttpCall> Fetch(const Address& address,
                                  HttpRequest request,
                                  HttpCallOptions options,
                                  FetchDone done);

  // Drops pooled connections to the address, for example when one went silent.
  void ForgetConnections(const Address& address);

 private:
  struct State;
  std::shared_ptr<State> state_;
};

}  // namespace gcw

#endif  // TRANSPORT_HTTP_CLIENT_H_
