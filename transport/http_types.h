#ifndef TRANSPORT_HTTP_TYPES_H_
#define TRANSPORT_HTTP_TYPES_H_

#include <cstddef>
#include <functional>
#include <limits>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "core/core.h"
#include "transport/descriptor_budget.h"

namespace gcw {

struct HttpHeader {
  std::string name;
  std::string value;
};

struct HttpRequest {
  std::string method;
  // Path and query, as sent.
  std::string target;
  std::vector<HttpHeader> headers;
  std::string body;

  // Returns the first header of that name, ignoring case, or an empty string.
  const std::string& Header(std::string_view name) const;
};

struct HttpResponse {
  int status = 200;
  std::vector<HttpHeader> headers;
  std::string body;
  // Set by the client: no length was announced, and the body ends when the
  // connection closes.
  bool ends_with_connection = false;

  const std::string& Header(std::string_view name) const;
};

// The status of a final response.
class FinalStatus {
 public:
  // Returns nothing unless the number is from 200 to 599.
  static std::optional<FinalStatus> FromNumber(int number);
  int number() const { return number_; }
  // Whether responses of this status have no body.
  bool excludes_body() const;

 private:
  explicit FinalStatus(int number) : number_(number) {}

  int number_;
};

// Responds to one request of a caller. All methods may be called from any
// thread. Either `Respond` is called once, or `StartStream`, any number of
// `Write`, and then `Finish` or `Abort`.
class HttpResponder {
 public:
  virtual ~HttpResponder() = default;

  virtual void Respond(HttpResponse response) = 0;
  // Sends status and headers; the body follows in chunks.
  virtual void StartStream(int status, std::vector<HttpHeader> headers) = 0;
  virtual void Write(std::string chunk) = 0;
  // Ends the stream properly.
  virtual void Finish() = 0;
  // Closes the connection without the last chunk, so that the caller cannot
  // mistake the response for complete.
  virtual void Abort() = 0;
  // Number of bytes given to `Write` that have not been sent to the caller yet.
  virtual std::size_t unsent_bytes() const = 0;
  // Sets a hook that is called once, on a thread of the server's context, if
  // the caller goes away before the response has ended. A caller that closes
  // only its sending side also counts as gone, because the two cannot be told
  // apart.
  virtual void OnCallerGone(std::function<void()> hook) = 0;
};

// Handles a request. It runs on a thread of the server's context, on the
// connection's strand, so it must not block. If it releases the responder
// without a response, the caller gets a 500.
using HttpHandler =
    std::function<void(HttpRequest, std::shared_ptr<HttpResponder>)>;

// Limits of a server. `max_connections`, `max_buffered_bytes` and
// `max_blocked_bytes` are for all connections together.
struct HttpServerLimits {
  std::size_t max_header_bytes = 16UL * 1024;
  std::size_t max_body_bytes = 4UL * 1024 * 1024;
  std::size_t max_connections = 20000;
  // Bytes of requests, of received bytes that are not parsed, and of unsent
  // responses, of all connections together. Above this, requests that have
  // stalled are refused, or else those that need more bytes; responses are
  // always accepted.
  std::size_t max_buffered_bytes = std::numeric_limits<std::size_t>::max();
  // Connections of the whole process, if they are counted, and the number that
  // the server does not exceed.
  std::shared_ptr<DescriptorBudget> descriptors;
  std::size_t max_descriptors = std::numeric_limits<std::size_t>::max();
  // Whether the handler responds before it returns. Whole requests then always
  // find room, and idle connections have no precedence over new ones.
  bool responds_immediately = false;
  // Unsent bytes of all connections whose callers do not read. Above this, the
  // connection that has made no progress for longest is closed.
  std::size_t max_blocked_bytes = std::numeric_limits<std::size_t>::max();
  // Maximum time from a request's first byte to the end of its header.
  Duration header_timeout = Duration::Seconds(20);
  // Maximum time from the end of a request's header to the end of its body.
  Duration request_timeout = Duration::Seconds(20);
  // Maximum time for which a connection stays open without a request.
  Duration idle_timeout = Duration::Seconds(75);
  // The idle timeout while the server stops. It is not zero because a request
  // may be on its way.
  Duration stopping_idle_timeout = Duration::Seconds(2);
  // A caller that accepts no byte of its response for this time counts as gone.
  Duration write_timeout = Duration::Seconds(30);
  // How long a caller may keep sending after the last response on its
  // connection. An immediate close would reset the connection, and a refusal
  // would be lost.
  Duration linger_timeout = Duration::Seconds(2);
};

// The limits that operators can change while a server runs.
struct HttpRequestLimits {
  std::size_t max_header_bytes = 0;
  std::size_t max_body_bytes = 0;
  Duration header_timeout;
  Duration idle_timeout;
};

// How far a request got, which decides whether it may have run.
enum class HttpProgress {
  // No byte of the request was passed to the kernel, so it was not run.
  kNothingSent,
  // Some bytes may have been sent, so the request may have run.
  kMaybeSent,
  // The head of the response arrived before the connection broke.
  kAnswerBegun,
};

enum class HttpFailureKind {
  kConnectRefused,
  kConnectTimeout,
  kConnectionReset,
  // No progress was made for the progress timeout.
  kProgressTimeout,
  kDeadlineExceeded,
  // The response violates the protocol or a limit, or announces no length: it
  // would end when its connection closes, and a truncated one would look
  // complete.
  kMalformedAnswer,
  // The response is longer than the call allows.
  kAnswerTooLarge,
  // The response began and did not end within its time.
  kAnswerTimeout,
  // The response ended before its announced length or its last chunk.
  kTruncated,
  kCancelled,
};

std::string_view HttpFailureKindName(HttpFailureKind kind);

struct HttpFailure {
  HttpFailureKind kind = HttpFailureKind::kConnectRefused;
  HttpProgress progress = HttpProgress::kNothingSent;
};

struct HttpCallOptions {
  Duration connect_timeout = Duration::Millis(500);
  // Maximum time without a byte sent or received once the connection is open.
  Duration progress_timeout = Duration::Seconds(10);
  // Maximum time for the whole exchange.
  Duration deadline = Duration::Seconds(60);
  // Maximum time from the first byte of the response to the end of its head. A
  // server that sends a byte now and then never exceeds the progress timeout.
  Duration head_timeout = Duration::Seconds(2);
  // Maximum time from the end of its head to the end of the response; absent if
  // only the deadline limits it.
  std::optional<Duration> body_timeout = std::nullopt;
  std::size_t max_answer_bytes = 64UL * 1024 * 1024;
  // Uses a pooled connection if one is free. Requests that must not be repeated
  // use a new one, because a pooled connection may have died unnoticed.
  bool reuse_connection = true;
  // Accepts a response without a length, which ends when its connection closes.
  // A reset is still an error. The user of the client must decide whether a
  // normal close is the end of the response.
  bool accept_unframed = false;
};

// Callbacks of one exchange. All calls are made on threads of the client's
// context, on the connection's strand, in order and never from within `Send`.
// The last call is exactly one of `on_end` and `on_failure`.
struct HttpCallHandlers {
  // Called right before the first byte of the request is passed to the kernel.
  // Returning false ends the call with kCancelled and kNothingSent.
  std::function<bool()> before_send;
  std::function<void(const HttpResponse& head)> on_head;
  std::function<void(std::string_view chunk)> on_body;
  // The response ended properly.
  std::function<void()> on_end;
  std::function<void(HttpFailure)> on_failure;
};

}  // namespace gcw

#endif  // TRANSPORT_HTTP_TYPES_H_
