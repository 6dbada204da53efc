#ifndef TRANSPORT_HTTP_CLIENT_CALL_H_
#define TRANSPORT_HTTP_CLIENT_CALL_H_

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>

#include "transport/appending_body.h"
#include "transport/framing_meter.h"
#include "transport/http_client.h"
#include "transport/http_connection.h"
#include "transport/http_connection_pool.h"
#include "transport/lazy_timer.h"

namespace gcw {

// One exchange on one connection: connects unless the connection is pooled,
// then writes the request and reads the response at the same time. Writes go
// straight to the kernel, so that the call knows at any time whether a byte may
// have been sent. All members are used on the connection's strand.
class HttpClientCall final
    : public HttpCall,
      public std::enable_shared_from_this<HttpClientCall> {
 public:
  // `connection` is not yet open, unless `pooled` is true.
  HttpClientCall(std::unique_ptr<HttpConnection> connection,
                 bool pooled,
                 std::shared_ptr<HttpConnectionPool> pool,
                 Address address,
                 HttpRequest request,
                 HttpCallOptions options,
                 HttpCallHandlers handlers);

  void Start();
  void Cancel() override;
  void Pause() override;
  void Resume() override;
  void SetBodyTimeout(Duration timeout) override;

 private:
  using SteadyClock = std::chrono::steady_clock;
  using Parser = boost::beast::http::response_parser<AppendingBody>;

  void Begin();
  void Connect();
  void OnConnected(const boost::system::error_code& error);
  void BeginExchange();
  // Sets the timeout of the current step, capped by the call's deadline.
  void SetStepTimeout(Duration timeout, HttpFailureKind timeout_kind);
  void ResetProgressTimeout();
  void SetAnswerTimeout(Duration timeout);
  void OnTimeout();

  void Write();
  void WaitWritable();

  void WaitReadable();
  // Returns whether bytes have arrived.
  bool Read();
  void OnEof();
  void ParseBuffered();
  void StartParser();
  // Called when the head is complete. Returns whether the call continues.
  bool AcceptHead();
  void DeliverBody();
  void End();
  void Fail(HttpFailureKind kind);
  bool request_sent() const {
    return written_bytes_ == encoded_request_.size();
  }

  const std::shared_ptr<HttpConnectionPool> pool_;
  const Address address_;
  const HttpCallOptions options_;
  HttpRequest request_;
  HttpCallHandlers handlers_;
  std::unique_ptr<HttpConnection> connection_;
  bool pooled_;
  // A copy, because the connection may return to the pool before the call is
  // destroyed.
  const Strand strand_;
  LazyTimer timer_;
  const SteadyClock::time_point deadline_;
  HttpFailureKind timeout_kind_ = HttpFailureKind::kConnectTimeout;
  HttpProgress progress_ = HttpProgress::kNothingSent;
  std::string encoded_request_;
  std::size_t written_bytes_ = 0;
  // The error that broke the connection, if it was reported to a write.
  boost::system::error_code write_error_;
  boost::beast::flat_buffer buffer_;
  std::optional<Parser> parser_;
  FramingMeter framing_;
  int interim_answers_ = 0;
  // When the part of the response that has begun must have ended.
  std::optional<SteadyClock::time_point> answer_deadline_;
  bool head_delivered_ = false;
  bool read_waiting_ = false;
  bool paused_ = false;
  bool done_ = false;
};

}  // namespace gcw

#endif  // TRANSPORT_HTTP_CLIENT_CALL_H_
