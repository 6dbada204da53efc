#include "transport/http_client_call.h"

#include <algorithm>
#include <charconv>
#include <string_view>
#include <utility>

#include <boost/asio/post.hpp>
#include <boost/beast/http/error.hpp>

#include "transport/address.h"
#include "transport/http_framing.h"
#include "transport/socket_options.h"

namespace gcw {

namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

constexpr std::size_t kReadBytes = 16UL * 1024;
constexpr std::uint32_t kMaxHeadBytes = 64 * 1024;
constexpr FramingLimits kFramingLimits = {.max_unparsed_bytes =
                                              kMaxHeadBytes + kReadBytes};
constexpr int kMaxInterimAnswers = 16;

HttpFailureKind ConnectFailure(const error_code& error) {
  return error == boost::asio::error::timed_out
             ? HttpFailureKind::kConnectTimeout
             : HttpFailureKind::kConnectRefused;
}

HttpFailureKind BrokenConnectionFailure(const error_code& error) {
  // The kernel reports a peer that acknowledges nothing with this error
  // (TCP_USER_TIMEOUT).
  return error == boost::asio::error::timed_out
             ? HttpFailureKind::kProgressTimeout
             : HttpFailureKind::kConnectionReset;
}

// Whether another response follows on the connection. The client asks for no
// switch of protocols, which is the other meaning of such a status.
bool IsInterimStatus(int status) {
  constexpr int kFirst = 100;
  constexpr int kLast = 199;
  constexpr int kSwitchingProtocols = 101;
  return status >= kFirst && status <= kLast && status != kSwitchingProtocols;
}

// Returns how long the connection may stay idle, based on the server's
// `Keep-Alive` header. Only a part of the announced time is used: a request
// sent just as the server closes the connection is lost, and its outcome is
// unknown.
Duration KeepAliveTimeout(const http::fields& head) {
  constexpr std::string_view kName = "timeout=";
  constexpr std::int64_t kUsedMillisPerSecond = 600;
  const auto value = head["Keep-Alive"];
  const std::size_t at = value.find(kName);
  std::int64_t seconds = 0;
  if (at == std::string_view::npos ||
      std::from_chars(value.data() + at + kName.size(),
                      value.data() + value.size(), seconds)
              .ec != std::errc()) {
    return HttpConnectionPool::kMaxIdleTime;
  }
  return std::min(HttpConnectionPool::kMaxIdleTime,
                  Duration::Millis(seconds * kUsedMillisPerSecond));
}

}  // namespace

HttpClientCall::HttpClientCall(std::unique_ptr<HttpConnection> connection,
                               bool pooled,
                               std::shared_ptr<HttpConnectionPool> pool,
                               Address address,
                               HttpRequest request,
                               HttpCallOptions options,
                               HttpCallHandlers handlers)
    : pool_(std::move(pool)),
      address_(std::move(address)),
      options_(options),
      request_(std::move(request)),
      handlers_(std::move(handlers)),
      connection_(std::move(connection)),
      pooled_(pooled),
      strand_(connection_->strand),
      timer_(strand_),
      deadline_(SteadyClock::now() + ToChrono(options.deadline)) {}

void HttpClientCall::Start() {
  boost::asio::post(strand_, [self = shared_from_this()] { self->Begin(); });
}

void HttpClientCall::Cancel() {
  boost::asio::post(strand_, [self = shared_from_this()] {
    self->Fail(HttpFailureKind::kCancelled);
  });
}

void HttpClientCall::Pause() {
  boost::asio::post(strand_, [self = shared_from_this()] {
    self->paused_ = true;
    if (!self->done_) {
      self->SetStepTimeout(self->options_.deadline,
                           HttpFailureKind::kDeadlineExceeded);
    }
  });
}

void HttpClientCall::Resume() {
  boost::asio::post(strand_, [self = shared_from_this()] {
    if (!std::exchange(self->paused_, false) || self->done_) {
      return;
    }
    if (self->parser_) {
      self->ResetProgressTimeout();
      self->WaitReadable();
    }
  });
}

void HttpClientCall::SetBodyTimeout(Duration timeout) {
  boost::asio::post(strand_, [self = shared_from_this(), timeout] {
    if (!self->done_) {
      self->SetAnswerTimeout(timeout);
    }
  });
}

void HttpClientCall::Begin() {
  if (done_) {
    return;
  }
  timer_.Start(weak_from_this(), [this] { OnTimeout(); });
  std::optional<std::string> encoded =
      EncodeRequest(request_, address_.value());
  if (!encoded) {
    Fail(HttpFailureKind::kCancelled);
    return;
  }
  encoded_request_ = std::move(*encoded);
  request_.body = std::string();
  request_.headers = {};
  if (pooled_) {
    BeginExchange();
  } else {
    Connect();
  }
}

void HttpClientCall::Connect() {
  const auto endpoint = ParseAddress(address_);
  if (!endpoint) {
    Fail(HttpFailureKind::kConnectRefused);
    return;
  }
  SetStepTimeout(options_.connect_timeout, HttpFailureKind::kConnectTimeout);
  connection_->socket.async_connect(
      *endpoint, [self = shared_from_this()](const error_code& error) {
        self->OnConnected(error);
      });
}

void HttpClientCall::OnConnected(const error_code& error) {
  if (done_) {
    return;
  }
  if (error) {
    Fail(ConnectFailure(error));
    return;
  }
  error_code ignored;
  connection_->socket.non_blocking(true, ignored);
  BeginExchange();
}

void HttpClientCall::BeginExchange() {
  // Input that arrived before the request was sent cannot belong to its
  // response, and an end of file means that the server has closed the idle
  // connection.
  if (pooled_ && HasUnreadInput(connection_->socket)) {
    pooled_ = false;
    connection_->socket = StrandSocket(strand_);
    Connect();
    return;
  }
  SetConnectionOptions(connection_->socket, options_.progress_timeout);
  StartParser();
  if (handlers_.before_send && !handlers_.before_send()) {
    Fail(HttpFailureKind::kCancelled);
    return;
  }
  ResetProgressTimeout();
  Write();
  WaitReadable();
}

void HttpClientCall::SetStepTimeout(Duration timeout,
                                    HttpFailureKind timeout_kind) {
  const auto remaining = std::chrono::duration_cast<std::chrono::milliseconds>(
      deadline_ - SteadyClock::now());
  timeout_kind_ = timeout_kind;
  timer_.Set(
      std::clamp(Duration::Millis(remaining.count()), Duration(), timeout));
}

void HttpClientCall::ResetProgressTimeout() {
  if (paused_) {
    return;
  }
  const auto left = answer_deadline_
                        ? std::chrono::duration_cast<std::chrono::milliseconds>(
                              *answer_deadline_ - SteadyClock::now())
                        : ToChrono(options_.progress_timeout);
  if (left < ToChrono(options_.progress_timeout)) {
    SetStepTimeout(std::max(Duration(), Duration::Millis(left.count())),
                   HttpFailureKind::kAnswerTimeout);
    return;
  }
  SetStepTimeout(options_.progress_timeout, HttpFailureKind::kProgressTimeout);
}

void HttpClientCall::SetAnswerTimeout(Duration timeout) {
  answer_deadline_ = SteadyClock::now() + ToChrono(timeout);
  ResetProgressTimeout();
}

void HttpClientCall::OnTimeout() {
  // The timer has millisecond resolution, so it may fire up to 1 ms early.
  const auto rounded_now = SteadyClock::now() + std::chrono::milliseconds(1);
  Fail(rounded_now >= deadline_ ? HttpFailureKind::kDeadlineExceeded
                                : timeout_kind_);
}

void HttpClientCall::Write() {
  while (!done_ && !write_error_ && !request_sent()) {
    // The kernel reports the error of a connection once, to a read or a write,
    // and reports an end of file to later reads. After a proper close, a read
    // reports the end of file and a write an error.
    if (progress_ != HttpProgress::kNothingSent) {
      const bool has_read = Read();
      if (done_) {
        return;
      }
      if (has_read) {
        WaitWritable();
        return;
      }
    }
    error_code error;
    const std::size_t size = connection_->socket.write_some(
        boost::asio::buffer(encoded_request_.data() + written_bytes_,
                            encoded_request_.size() - written_bytes_),
        error);
    if (error == boost::asio::error::would_block) {
      WaitWritable();
      return;
    }
    if (error && progress_ == HttpProgress::kNothingSent) {
      Fail(HttpFailureKind::kConnectionReset);
      return;
    }
    if (error) {
      // The server may have responded before the connection broke; what has
      // arrived decides the outcome.
      write_error_ = error;
      return;
    }
    progress_ = std::max(progress_, HttpProgress::kMaybeSent);
    written_bytes_ += size;
    ResetProgressTimeout();
  }
}

void HttpClientCall::WaitWritable() {
  connection_->socket.async_wait(
      StrandSocket::wait_write,
      [self = shared_from_this()](const error_code&) { self->Write(); });
}

void HttpClientCall::WaitReadable() {
  if (done_ || read_waiting_ || paused_) {
    return;
  }
  read_waiting_ = true;
  connection_->socket.async_wait(
      StrandSocket::wait_read,
      [self = shared_from_this()](const error_code& error) {
        self->read_waiting_ = false;
        if (!self->done_ && !error) {
          self->Read();
        }
      });
}

bool HttpClientCall::Read() {
  if (paused_) {
    return false;
  }
  error_code error;
  const bool is_line_begun = buffer_.size() > 0;
  const std::size_t size =
      connection_->socket.read_some(buffer_.prepare(kReadBytes), error);
  if (error == boost::asio::error::would_block) {
    WaitReadable();
    return false;
  }
  if (error == boost::asio::error::eof) {
    OnEof();
    return false;
  }
  if (error) {
    Fail(BrokenConnectionFailure(error));
    return false;
  }
  buffer_.commit(size);
  if (!head_delivered_ && !answer_deadline_) {
    SetAnswerTimeout(options_.head_timeout);
  }
  framing_.AddReceived(size);
  ResetProgressTimeout();
  if (is_line_begun && buffer_.size() < kMinBytesToResumeParsing) {
    WaitReadable();
    return true;
  }
  ParseBuffered();
  return true;
}

void HttpClientCall::OnEof() {
  // A broken connection looks closed to reads after its error was reported to a
  // write.
  if (write_error_) {
    Fail(BrokenConnectionFailure(write_error_));
    return;
  }
  if (head_delivered_ && parser_->need_eof()) {
    error_code error;
    parser_->put_eof(error);
    if (!error) {
      End();
      return;
    }
  }
  const bool response_began = parser_->got_some() || buffer_.size() > 0;
  Fail(response_began ? HttpFailureKind::kTruncated
                      : HttpFailureKind::kConnectionReset);
}

void HttpClientCall::ParseBuffered() {
  while (buffer_.size() > 0) {
    error_code error;
    const std::size_t size = parser_->put(buffer_.data(), error);
    const std::string_view parsed(
        static_cast<const char*>(buffer_.data().data()), size);
    if (!head_delivered_ && HasFoldedLine(parsed)) {
      Fail(HttpFailureKind::kMalformedAnswer);
      return;
    }
    buffer_.consume(size);
    const bool parse_failed = error && error != http::error::need_more;
    if (parser_->is_header_done() && !head_delivered_ && !AcceptHead()) {
      return;
    }
    if (parse_failed) {
      Fail(error == http::error::body_limit
               ? HttpFailureKind::kAnswerTooLarge
               : HttpFailureKind::kMalformedAnswer);
      return;
    }
    DeliverBody();
    if (head_delivered_ && parser_->is_done()) {
      End();
      return;
    }
    if (size == 0 || error == http::error::need_more) {
      break;
    }
  }
  if (!framing_.IsWithin(kFramingLimits, buffer_.size())) {
    Fail(HttpFailureKind::kMalformedAnswer);
    return;
  }
  WaitReadable();
}

void HttpClientCall::StartParser() {
  parser_.emplace();
  parser_->header_limit(kMaxHeadBytes);
  parser_->body_limit(options_.max_answer_bytes);
  parser_->skip(request_.method == "HEAD");
}

bool HttpClientCall::AcceptHead() {
  const auto& head = parser_->get();
  const int status = static_cast<int>(head.result_int());
  const bool is_valid =
      (IsInterimStatus(status) || FinalStatus::FromNumber(status)) &&
      HasSupportedCoding(head);
  if (!is_valid) {
    Fail(HttpFailureKind::kMalformedAnswer);
    return false;
  }
  if (IsInterimStatus(status)) {
    // This is an interim response; the final one may follow much later.
    if (++interim_answers_ > kMaxInterimAnswers) {
      Fail(HttpFailureKind::kMalformedAnswer);
      return false;
    }
    answer_deadline_.reset();
    ResetProgressTimeout();
    StartParser();
    return true;
  }
  progress_ = HttpProgress::kAnswerBegun;
  if (parser_->need_eof() && !options_.accept_unframed) {
    Fail(HttpFailureKind::kMalformedAnswer);
    return false;
  }
  head_delivered_ = true;
  // The parser adds trailers to the head, so it stops at the end of the head
  // until that is copied.
  parser_->eager(true);
  answer_deadline_.reset();
  if (options_.body_timeout) {
    SetAnswerTimeout(*options_.body_timeout);
  } else {
    ResetProgressTimeout();
  }
  if (handlers_.on_head) {
    HttpResponse response{status, ToHeaders(head), {}};
    response.ends_with_connection = parser_->need_eof();
    handlers_.on_head(response);
  }
  return true;
}

void HttpClientCall::DeliverBody() {
  std::string& body = parser_->get().body();
  if (body.empty()) {
    return;
  }
  framing_.AddBody(body.size());
  if (handlers_.on_body) {
    handlers_.on_body(body);
  }
  body.clear();
}

void HttpClientCall::End() {
  const bool reusable = parser_->keep_alive() && request_sent() &&
                        buffer_.size() == 0 &&
                        !HasUnreadInput(connection_->socket);
  done_ = true;
  timer_.Stop();
  if (reusable) {
    connection_->idle_timeout = KeepAliveTimeout(parser_->get());
    pool_->Put(address_, std::move(connection_));
  }
  connection_.reset();
  const HttpCallHandlers handlers = std::exchange(handlers_, {});
  if (handlers.on_end) {
    handlers.on_end();
  }
}

void HttpClientCall::Fail(HttpFailureKind kind) {
  if (done_) {
    return;
  }
  done_ = true;
  timer_.Stop();
  connection_.reset();
  const HttpCallHandlers handlers = std::exchange(handlers_, {});
  if (handlers.on_failure) {
    handlers.on_failure(HttpFailure{kind, progress_});
  }
}

}  // namespace gcw
