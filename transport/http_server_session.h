#ifndef TRANSPORT_HTTP_SERVER_SESSION_H_
#define TRANSPORT_HTTP_SERVER_SESSION_H_

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>

#include "transport/appending_body.h"
#include "transport/framing_meter.h"
#include "transport/http_error.h"
#include "transport/http_outbox.h"
#include "transport/http_server_state.h"
#include "transport/lazy_timer.h"
#include "transport/net_types.h"

namespace gcw {

// One connection of a caller. It reads one request after another and keeps
// watching the socket while a response is pending, because only a read shows
// that a caller has left. All members but the outbox are used on the strand.
class HttpServerSession
    : public std::enable_shared_from_this<HttpServerSession> {
 public:
  HttpServerSession(StrandSocket socket,
                    std::shared_ptr<HttpServerState> server);
  ~HttpServerSession();
  HttpServerSession(const HttpServerSession&) = delete;
  HttpServerSession& operator=(const HttpServerSession&) = delete;

  // Called once, from any thread. The same applies to `Drain` and `Close`.
  void Start();
  // Called when the server stops. Closes the connection after the current
  // request, or soon if it is idle.
  void Drain();
  void Close();
  // Refuses the request that is being read, if any, to release its memory.
  // Calls `on_released` afterwards. May be called from any thread.
  void ReleaseRequest(std::function<void()> on_released);
  // Closes the connection for another one, after a refusal if a request is
  // being read. Has no effect while a request is served. May be called from any
  // thread.
  void ReleaseConnection();

  HttpOutbox& outbox() { return outbox_; }
  // Whether the connection has bytes to send, or has received a part of a
  // request. May be called from any thread.
  bool is_busy() const { return is_reading_ || outbox_.unsent_bytes() > 0; }
  // Grows with the moment from which the caller has accepted no byte; 0 if the
  // connection does not wait for its caller. May be called from any thread.
  std::uint64_t blocked_number() const { return blocked_number_; }
  // Bytes that the server has counted for the connection. May be called from
  // any thread.
  std::size_t counted_bytes() const { return counted_bytes_; }

 private:
  enum class Phase { kIdle, kReading, kResponding, kLingering, kClosed };

  void Begin();
  void WaitReadable();
  void ReadAvailable();
  void ProcessInput(std::string_view received);
  // Keeps bytes that cannot be parsed yet.
  void KeepReceived(std::string_view received);
  void DiscardBuffer();
  // Ignores bytes that are sent ahead and belong to no request, up to a limit.
  void DiscardAhead(std::string_view received);
  // Leaves what the caller sends to the kernel until the response has ended.
  void StopReading();
  // Reads what the caller sends while its response is pending, up to a limit.
  void ReadAhead();
  void ParseRequest(std::string_view received);
  void BeginRequest();
  // Pass the bytes to the parser and keep what it leaves. Return false if the
  // request is refused.
  bool ParseBuffered();
  bool ParseReceived(std::string_view received);
  // Returns the number of bytes that were parsed, or nothing if the request is
  // refused.
  std::optional<std::size_t> Parse(std::string_view input);
  std::size_t Put(std::string_view input, boost::system::error_code& error);
  // Takes the head out of the parser: trailers, which follow it there, are not
  // used.
  void TakeHead();
  void SendContinueOnce();
  void Dispatch();
  void RespondError(HttpErrorKind kind);
  // Tells the server that bytes of a request have arrived.
  void NoteProgress(std::size_t bytes);
  // Returns false if there is no memory for the request that is being read.
  bool HasMemoryForRequest();
  // Counts what the connection holds: `request_bytes`, received bytes that are
  // not parsed, and unsent bytes.
  void CountBuffered(std::size_t request_bytes);
  void Flush();
  // Returns whether everything taken from the outbox has been written.
  bool WriteBuffered();
  void WaitWritable();
  // Counts the unsent bytes while the connection waits for its caller to read.
  void CountBlocked();
  // The connection no longer waits.
  void EndBlock();
  void OnWritable(const boost::system::error_code& error);
  void OnResponseSent(HttpResponseEnd end);
  void AwaitNextRequest();
  void SetIdleTimeout();
  void Linger();
  void OnEof();
  void OnTimeout();
  void CloseNow();

  StrandSocket socket_;
  const std::shared_ptr<HttpServerState> server_;
  DescriptorBudget::Token descriptor_;
  HttpOutbox outbox_;
  LazyTimer timer_;
  Phase phase_ = Phase::kIdle;
  boost::beast::flat_buffer buffer_;
  std::optional<boost::beast::http::request_parser<AppendingBody>> parser_;
  // The request that is read, without its body.
  HttpRequest request_;
  bool has_head_ = false;
  // Line ends in what was received of the head, and the memory that the
  // complete head takes.
  std::size_t received_lines_ = 0;
  std::size_t head_bytes_ = 0;
  // Whether the server knows that the request is being read, and how many bytes
  // have arrived since it was last told.
  bool is_moved_ = false;
  std::size_t unnoted_bytes_ = 0;
  bool has_unknown_coding_ = false;
  bool expects_continue_ = false;
  FramingMeter request_framing_;
  ResponseFraming framing_;
  std::string write_buffer_;
  std::size_t write_offset_ = 0;
  std::size_t discarded_bytes_ = 0;
  // Counted for the kernel while the connection is not read.
  std::size_t unread_bytes_ = 0;
  // Of the request that is read or responded to.
  std::size_t request_bytes_ = 0;
  // What the server has counted for the connection.
  std::atomic<std::size_t> counted_bytes_ = 0;
  std::size_t blocked_bytes_ = 0;
  std::atomic<std::uint64_t> blocked_number_ = 0;
  std::atomic<bool> is_reading_ = false;
  bool read_waiting_ = false;
  bool write_waiting_ = false;
  bool eof_seen_ = false;
  bool closes_after_response_ = false;
  bool closes_at_once_ = false;
};

}  // namespace gcw

#endif  // TRANSPORT_HTTP_SERVER_SESSION_H_
