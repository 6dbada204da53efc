#ifndef TRANSPORT_HTTP_CLIENT_H_
#define TRANSPORT_HTTP_CLIENT_H_

#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>

#include "state/state.h"
#include "transport/descriptor_budget.h"
#include "transport/http_types.h"

namespace gcw {

// One HTTP exchange in progress.
class HttpCall {
 public:
  virtual ~HttpCall() = default;
  // Ends the exchange and closes its connection. `on_failure` follows with
  // kCancelled unless the call has already ended.
  virtual void Cancel() = 0;
  // Pauses and resumes reading, so that a slow caller applies back-pressure to
  // the endpoint instead of filling this process's memory. While paused, only
  // the deadline applies.
  virtual void Pause() {}
  virtual void Resume() {}
  // Sets the time within which the response, whose head has arrived, must end.
  virtual void SetBodyTimeout(Duration /*timeout*/) {}
};

// Makes HTTP/1.1 calls to endpoints. A connection carries one request at a time
// and returns to the pool only after a response that ended properly, so that no
// caller can receive a part of another's response. Callable from any thread.
// Calls that are in progress when the client is destroyed run to their end.
class HttpClient {
 public:
  // The context must outlive the client. If a single thread runs the context,
  // all handlers run on that thread. `descriptors` counts the connections if it
  // is given.
  explicit HttpClient(boost::asio::io_context& context,
                      std::shared_ptr<DescriptorBudget> descriptors = nullptr);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  std::shared_ptr<HttpCall> Send(const Address& address,
                                 HttpRequest request,
                                 HttpCallOptions options,
                                 HttpCallHandlers handlers);

  // Collects the whole response. `done` gets either the response or the
  // failure.
  using FetchDone = std::function<void(Result<HttpResponse, HttpFailure>)>;
  std::shared_ptr<HttpCall> Fetch(const Address& address,
                                  HttpRequest request,
                                  HttpCallOptions options,
                                  FetchDone done);

  // Closes pooled connections to the address, for example after one stalled.
  void CloseIdleConnections(const Address& address);

 private:
  struct State;
  std::shared_ptr<State> state_;
};

}  // namespace gcw

#endif  // TRANSPORT_HTTP_CLIENT_H_
