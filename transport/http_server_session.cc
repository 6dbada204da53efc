#include "transport/http_server_session.h"

#include <algorithm>
#include <array>
#include <utility>

#include <boost/asio/buffer.hpp>
#include <boost/asio/dispatch.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/http/error.hpp>

#include "transport/http_session_responder.h"
#include "transport/socket_options.h"

namespace gcw {

namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

constexpr std::size_t kReadBytes = 8UL * 1024;
// While a response is pending, the connection is no longer read if this many
// bytes have been received ahead. From then on, only a failed write shows that
// a caller has left.
constexpr std::size_t kMaxPipelinedBytes = 16UL * 1024;
// A request is kept for further attempts, and copied for each of them.
constexpr std::size_t kCopies = 2;
// What a header takes beside its text, in the parser or in a request.
constexpr std::size_t kHeaderOverhead = 96;
// A caller that sends this many bytes of a request makes progress; one byte now
// and then is none.
constexpr std::size_t kProgressBytes = 4UL * 1024;
// What the kernel may hold for a connection that is not read.
constexpr std::size_t kUnreadBytes = 128UL * 1024;
constexpr std::size_t kMaxDiscardedBytes = 1024UL * 1024;

std::size_t CountLines(std::string_view text) {
  return static_cast<std::size_t>(std::ranges::count(text, '\n'));
}

HttpErrorKind ToHttpErrorKind(const error_code& error) {
  if (error == http::error::body_limit) {
    return HttpErrorKind::kBodyTooLarge;
  }
  if (error == http::error::header_limit ||
      error == http::error::buffer_overflow) {
    return HttpErrorKind::kHeadersTooLarge;
  }
  return HttpErrorKind::kMalformedRequest;
}

}  // namespace

HttpServerSession::HttpServerSession(StrandSocket socket,
                                     std::shared_ptr<HttpServerState> server)
    : socket_(std::move(socket)),
      server_(std::move(server)),
      descriptor_(server_->limits().descriptors),
      outbox_([this] {
        boost::asio::post(socket_.get_executor(),
                          [self = shared_from_this()] { self->Flush(); });
      }),
      timer_(socket_.get_executor()) {}

void HttpServerSession::Start() {
  boost::asio::dispatch(socket_.get_executor(),
                        [self = shared_from_this()] { self->Begin(); });
}

void HttpServerSession::Drain() {
  boost::asio::post(socket_.get_executor(), [self = shared_from_this()] {
    if (self->phase_ == Phase::kIdle) {
      self->SetIdleTimeout();
    }
  });
}

void HttpServerSession::Close() {
  boost::asio::post(socket_.get_executor(),
                    [self = shared_from_this()] { self->CloseNow(); });
}

HttpServerSession::~HttpServerSession() {
  server_->Remove(this);
}

void HttpServerSession::ReleaseRequest(std::function<void()> on_released) {
  boost::asio::post(
      socket_.get_executor(),
      [self = shared_from_this(), on_released = std::move(on_released)] {
        if (self->phase_ == Phase::kReading) {
          self->RespondError(HttpErrorKind::kOutOfMemory);
        }
        on_released();
      });
}

void HttpServerSession::ReleaseConnection() {
  boost::asio::post(socket_.get_executor(), [self = shared_from_this()] {
    if (self->phase_ == Phase::kReading) {
      self->closes_at_once_ = true;
      self->RespondError(HttpErrorKind::kTooManyConnections);
    } else if (self->phase_ != Phase::kResponding) {
      self->CloseNow();
    }
  });
}

void HttpServerSession::Begin() {
  timer_.Start(weak_from_this(), [this] { OnTimeout(); });
  error_code error;
  socket_.non_blocking(true, error);
  SetConnectionOptions(socket_, server_->limits().write_timeout);
  switch (server_->Add(shared_from_this())) {
    case HttpServerState::Admission::kServe:
      SetIdleTimeout();
      WaitReadable();
      return;
    case HttpServerState::Admission::kRefuse:
      RespondError(HttpErrorKind::kTooManyConnections);
      return;
    case HttpServerState::Admission::kDrop:
      CloseNow();
      return;
  }
}

void HttpServerSession::WaitReadable() {
  if (read_waiting_ || phase_ == Phase::kClosed || eof_seen_) {
    return;
  }
  read_waiting_ = true;
  // Waits without a read buffer, because most connections are idle most of the
  // time.
  socket_.async_wait(StrandSocket::wait_read,
                     [self = shared_from_this()](const error_code& error) {
                       self->read_waiting_ = false;
                       if (!error && self->phase_ != Phase::kClosed) {
                         self->ReadAvailable();
                       }
                     });
}

void HttpServerSession::ReadAvailable() {
  // Shared by all connections of the thread: a connection keeps only what the
  // parser leaves.
  thread_local std::array<char, kReadBytes> received;
  error_code error;
  const std::size_t size =
      socket_.read_some(boost::asio::buffer(received), error);
  if (error == boost::asio::error::would_block) {
    WaitReadable();
    return;
  }
  if (error == boost::asio::error::eof) {
    OnEof();
    return;
  }
  if (error) {
    CloseNow();
    return;
  }
  ProcessInput({received.data(), size});
}

void HttpServerSession::ProcessInput(std::string_view received) {
  switch (phase_) {
    case Phase::kIdle:
    case Phase::kReading:
      ParseRequest(received);
      return;
    case Phase::kResponding:
      if (!framing_.keep_alive || closes_after_response_) {
        DiscardAhead(received);
        return;
      }
      KeepReceived(received);
      ReadAhead();
      return;
    case Phase::kLingering:
      discarded_bytes_ += received.size();
      if (discarded_bytes_ > kMaxDiscardedBytes) {
        CloseNow();
        return;
      }
      WaitReadable();
      return;
    case Phase::kClosed:
      return;
  }
}

void HttpServerSession::DiscardAhead(std::string_view received) {
  discarded_bytes_ += received.size();
  if (discarded_bytes_ > kMaxDiscardedBytes) {
    StopReading();
    return;
  }
  WaitReadable();
}

void HttpServerSession::StopReading() {
  LimitReceiveBuffer(socket_);
  unread_bytes_ = kUnreadBytes;
  CountBuffered(request_bytes_);
}

void HttpServerSession::ReadAhead() {
  if (!framing_.keep_alive) {
    DiscardBuffer();
  }
  if (buffer_.size() == 0) {
    WaitReadable();
    return;
  }
  const bool is_far_ahead = buffer_.size() >= kMaxPipelinedBytes;
  if (!server_->MakeRoom(is_far_ahead ? kUnreadBytes : 0, this)) {
    // Requests that have not been read may be sent again on another connection.
    closes_after_response_ = true;
    DiscardBuffer();
  } else if (is_far_ahead) {
    StopReading();
    return;
  }
  CountBuffered(request_bytes_);
  WaitReadable();
}

void HttpServerSession::KeepReceived(std::string_view received) {
  if (received.empty()) {
    return;
  }
  buffer_.commit(boost::asio::buffer_copy(
      buffer_.prepare(received.size()),
      boost::asio::buffer(received.data(), received.size())));
  CountBuffered(request_bytes_);
}

void HttpServerSession::ParseRequest(std::string_view received) {
  if (phase_ == Phase::kIdle) {
    BeginRequest();
  }
  request_framing_.AddReceived(received.size());
  if (!has_head_) {
    received_lines_ += CountLines(received);
  }
  if (buffer_.size() > 0) {
    KeepReceived(received);
    if (buffer_.size() < kMinBytesToResumeParsing) {
      WaitReadable();
      return;
    }
  }
  if (!(buffer_.size() > 0 ? ParseBuffered() : ParseReceived(received))) {
    return;
  }
  if (!HasMemoryForRequest()) {
    RespondError(HttpErrorKind::kOutOfMemory);
    return;
  }
  if (parser_->is_done()) {
    Dispatch();
    return;
  }
  NoteProgress(received.size());
  SendContinueOnce();
  WaitReadable();
}

void HttpServerSession::NoteProgress(std::size_t bytes) {
  unnoted_bytes_ += bytes;
  if (!std::exchange(is_moved_, true) || unnoted_bytes_ >= kProgressBytes) {
    unnoted_bytes_ = 0;
    server_->Move(this, EvictionOrder::Standing::kReading);
  }
}

void HttpServerSession::BeginRequest() {
  phase_ = Phase::kReading;
  is_reading_ = true;
  has_head_ = false;
  is_moved_ = false;
  unnoted_bytes_ = 0;
  // Bytes that were sent ahead belong to this request.
  received_lines_ = CountLines(
      {static_cast<const char*>(buffer_.data().data()), buffer_.size()});
  request_framing_ = FramingMeter();
  request_framing_.AddReceived(buffer_.size());
  timer_.Set(server_->header_timeout());
  parser_.emplace();
  parser_->header_limit(
      static_cast<std::uint32_t>(server_->max_header_bytes()));
  parser_->body_limit(server_->max_body_bytes());
}

bool HttpServerSession::ParseBuffered() {
  const std::optional<std::size_t> parsed =
      Parse({static_cast<const char*>(buffer_.data().data()), buffer_.size()});
  if (!parsed) {
    return false;
  }
  buffer_.consume(*parsed);
  if (buffer_.size() == 0) {
    buffer_.shrink_to_fit();
  }
  return true;
}

bool HttpServerSession::ParseReceived(std::string_view received) {
  const std::optional<std::size_t> parsed = Parse(received);
  if (!parsed) {
    return false;
  }
  KeepReceived(received.substr(*parsed));
  return true;
}

std::optional<std::size_t> HttpServerSession::Parse(std::string_view input) {
  const std::size_t body_bytes = parser_->get().body().size();
  error_code error;
  std::size_t parsed = Put(input, error);
  if (!error && !has_head_ && parser_->is_header_done()) {
    TakeHead();
    if (!parser_->is_done() && parsed < input.size()) {
      parsed += Put(input.substr(parsed), error);
    }
  }
  if (error && error != http::error::need_more) {
    RespondError(ToHttpErrorKind(error));
    return std::nullopt;
  }
  request_framing_.AddBody(parser_->get().body().size() - body_bytes);
  const std::size_t unparsed = input.size() - parsed;
  const std::size_t max_header_bytes = server_->max_header_bytes();
  if (has_head_ && !parser_->is_done() &&
      !request_framing_.IsWithin({.max_unparsed_bytes = max_header_bytes},
                                 unparsed)) {
    RespondError(HttpErrorKind::kFramingTooLarge);
    return std::nullopt;
  }
  return parsed;
}

std::size_t HttpServerSession::Put(std::string_view input, error_code& error) {
  return parser_->put(boost::asio::buffer(input.data(), input.size()), error);
}

void HttpServerSession::TakeHead() {
  auto& message = parser_->get();
  request_.method = message.method_string();
  request_.target = message.target();
  request_.headers = ToHeaders(message);
  head_bytes_ = kHeaderOverhead * request_.headers.size();
  for (const HttpHeader& header : request_.headers) {
    head_bytes_ += kCopies * (header.name.size() + header.value.size());
  }
  framing_ = {message.version(),
              message.keep_alive() && message.version() >= 11,
              message.method() == http::verb::head};
  has_unknown_coding_ = !HasSupportedCoding(message);
  expects_continue_ =
      boost::beast::iequals(message[http::field::expect], "100-continue");
  message.clear();
  has_head_ = true;
  timer_.Set(server_->limits().request_timeout);
  parser_->eager(true);
}

bool HttpServerSession::HasMemoryForRequest() {
  // An incomplete head is in the parser, as far as its fields are complete.
  const std::size_t head = has_head_ ? head_bytes_
                                     : request_framing_.received_bytes() +
                                           kHeaderOverhead * received_lines_;
  const std::size_t received = head + kCopies * parser_->get().body().size();
  std::size_t needed = received;
  if (has_head_) {
    needed = std::max(needed,
                      head + kCopies * parser_->content_length().value_or(0));
  }
  const bool always_fits =
      parser_->is_done() && server_->limits().responds_immediately;
  const std::size_t missing =
      needed > request_bytes_ ? needed - request_bytes_ : 0;
  if (!always_fits && !server_->MakeRoom(missing, this)) {
    return false;
  }
  CountBuffered(received);
  return true;
}

void HttpServerSession::CountBuffered(std::size_t request_bytes) {
  request_bytes_ = request_bytes;
  const std::size_t total = request_bytes_ + buffer_.capacity() +
                            unread_bytes_ + outbox_.unsent_bytes();
  const std::size_t counted = counted_bytes_.exchange(total);
  if (total > counted) {
    server_->AddBuffered(total - counted);
  } else {
    server_->RemoveBuffered(counted - total);
  }
}

void HttpServerSession::SendContinueOnce() {
  if (has_head_ && std::exchange(expects_continue_, false)) {
    outbox_.AppendRaw("HTTP/1.1 100 Continue\r\n\r\n");
  }
}

void HttpServerSession::Dispatch() {
  is_reading_ = false;
  std::string body = std::move(parser_->get().body());
  parser_.reset();
  // Parsing the body as the next request would allow request smuggling, where
  // one caller sends requests as another.
  if (has_unknown_coding_) {
    RespondError(HttpErrorKind::kMalformedRequest);
    return;
  }
  if (server_->closed()) {
    CloseNow();
    return;
  }
  timer_.Clear();
  phase_ = Phase::kResponding;
  framing_.keep_alive = framing_.keep_alive && !server_->stopping();
  body.shrink_to_fit();
  HttpRequest request = std::move(request_);
  request.body = std::move(body);
  if (is_moved_) {
    server_->Move(this, EvictionOrder::Standing::kProtected);
  }
  const std::uint64_t response_id = outbox_.Begin(framing_);
  ReadAhead();
  server_->handler()(std::move(request), std::make_shared<HttpSessionResponder>(
                                             shared_from_this(), response_id));
}

void HttpServerSession::RespondError(HttpErrorKind kind) {
  is_reading_ = false;
  timer_.Clear();
  parser_.reset();
  request_ = HttpRequest();
  DiscardBuffer();
  CountBuffered(0);
  phase_ = Phase::kResponding;
  framing_ = {11, false, false};
  server_->Move(this, EvictionOrder::Standing::kProtected);
  const std::uint64_t response_id = outbox_.Begin(framing_);
  outbox_.Respond(response_id, MakeErrorResponse(kind));
}

void HttpServerSession::Flush() {
  if (phase_ != Phase::kClosed) {
    CountBuffered(request_bytes_);
  }
  if (phase_ == Phase::kClosed || phase_ == Phase::kLingering) {
    return;
  }
  if (write_waiting_) {
    CountBlocked();
    return;
  }
  HttpResponseEnd end = HttpResponseEnd::kOpen;
  do {
    if (!WriteBuffered()) {
      return;
    }
    write_buffer_.clear();
    write_offset_ = 0;
    end = outbox_.Take(write_buffer_);
  } while (!write_buffer_.empty());
  if (phase_ == Phase::kResponding && end != HttpResponseEnd::kOpen) {
    OnResponseSent(end);
  }
}

bool HttpServerSession::WriteBuffered() {
  while (write_offset_ < write_buffer_.size()) {
    error_code error;
    const std::size_t size = socket_.write_some(
        boost::asio::buffer(write_buffer_.data() + write_offset_,
                            write_buffer_.size() - write_offset_),
        error);
    if (error == boost::asio::error::would_block) {
      WaitWritable();
      return false;
    }
    if (error) {
      CloseNow();
      return false;
    }
    write_offset_ += size;
    outbox_.OnSent(size);
  }
  return true;
}

void HttpServerSession::WaitWritable() {
  write_waiting_ = true;
  blocked_number_ = server_->NextBlockedNumber();
  CountBlocked();
  if (phase_ == Phase::kResponding) {
    timer_.Set(server_->limits().write_timeout);
  }
  socket_.async_wait(StrandSocket::wait_write,
                     [self = shared_from_this()](const error_code& error) {
                       self->OnWritable(error);
                     });
}

void HttpServerSession::CountBlocked() {
  server_->RemoveBlocked(blocked_bytes_);
  blocked_bytes_ = outbox_.unsent_bytes();
  server_->AddBlocked(blocked_bytes_);
}

void HttpServerSession::EndBlock() {
  blocked_number_ = 0;
  server_->RemoveBlocked(std::exchange(blocked_bytes_, 0));
}

void HttpServerSession::OnWritable(const error_code& error) {
  write_waiting_ = false;
  EndBlock();
  if (error || phase_ == Phase::kClosed) {
    return;
  }
  if (phase_ == Phase::kResponding) {
    timer_.Clear();
  }
  Flush();
}

void HttpServerSession::OnResponseSent(HttpResponseEnd end) {
  CountBuffered(0);
  if (end == HttpResponseEnd::kAborted) {
    // Before HTTP/1.1 there are no chunks, and a normal close would look like
    // the end of the response.
    if (framing_.version < 11) {
      ResetOnClose(socket_);
    }
    CloseNow();
    return;
  }
  // A response that promised to keep the connection open is honoured even if
  // the server has begun to stop, because the next request may be on its way.
  if (!framing_.keep_alive || closes_after_response_ || eof_seen_) {
    Linger();
    return;
  }
  AwaitNextRequest();
}

void HttpServerSession::AwaitNextRequest() {
  phase_ = Phase::kIdle;
  unread_bytes_ = 0;
  const bool has_precedence =
      outbox_.is_successful() && !server_->limits().responds_immediately;
  server_->Move(this, has_precedence ? EvictionOrder::Standing::kProtected
                                     : EvictionOrder::Standing::kSilent);
  if (buffer_.size() > 0) {
    ParseRequest({});
    return;
  }
  if (!read_waiting_) {
    WaitReadable();
  }
  write_buffer_.shrink_to_fit();
  SetIdleTimeout();
}

void HttpServerSession::SetIdleTimeout() {
  timer_.Set(server_->stopping() ? server_->limits().stopping_idle_timeout
                                 : server_->idle_timeout());
}

void HttpServerSession::Linger() {
  if (eof_seen_ || closes_at_once_) {
    CloseNow();
    return;
  }
  phase_ = Phase::kLingering;
  server_->Move(this, EvictionOrder::Standing::kLingering);
  DiscardBuffer();
  unread_bytes_ = 0;
  CountBuffered(0);
  error_code error;
  socket_.shutdown(StrandSocket::shutdown_send, error);
  timer_.Set(server_->limits().linger_timeout);
  WaitReadable();
}

void HttpServerSession::DiscardBuffer() {
  buffer_.consume(buffer_.size());
  buffer_.shrink_to_fit();
}

void HttpServerSession::OnEof() {
  eof_seen_ = true;
  switch (phase_) {
    case Phase::kReading:
      RespondError(HttpErrorKind::kIncompleteRequest);
      return;
    case Phase::kResponding:
      // A caller that closes its sending side after the response has ended can
      // still receive the rest. Before that, a half-close cannot be told from a
      // caller that is gone.
      if (outbox_.response_ended()) {
        return;
      }
      CloseNow();
      return;
    case Phase::kIdle:
    case Phase::kLingering:
    case Phase::kClosed:
      CloseNow();
      return;
  }
}

void HttpServerSession::OnTimeout() {
  if (phase_ == Phase::kReading) {
    RespondError(HttpErrorKind::kRequestTimeout);
    return;
  }
  CloseNow();
}

void HttpServerSession::CloseNow() {
  if (phase_ == Phase::kClosed) {
    return;
  }
  phase_ = Phase::kClosed;
  is_reading_ = false;
  timer_.Stop();
  parser_.reset();
  request_ = HttpRequest();
  DiscardBuffer();
  unread_bytes_ = 0;
  error_code error;
  socket_.close(error);
  descriptor_.Release();
  server_->Remove(this);
  const auto hook = outbox_.MarkCallerGone();
  CountBuffered(0);
  EndBlock();
  if (hook) {
    hook();
  }
}

}  // namespace gcw
