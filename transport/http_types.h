#ifndef TRANSPORT_HTTP_TYPES_H_
#define TRANSPORT_HTTP_TYPES_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "core/core.h"

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

  // The first header of that name in any case, or an empty string.
  const std::string& Header(std::string_view name) const;
};

struct HttpResponse {
  int status = 200;
  std::vector<HttpHeader> headers;
  std::string body;

  const std::string& Header(std::string_view name) const;
};

// Answers one request of a caller. All methods may be called from any thread.
// Either `Respond` is called once, or `StartStream`, any number of `Write`, and
// then `Finish` or `Abort`.
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
  // take the answer for whole.
  virtual void Abort() = 0;
  // Bytes given to `Write` that the caller has not taken yet.
  virtual std::size_t unsent_bytes() const = 0;
  // Called once, on a thread of the server's context, when the caller goes away
  // before the answer ended. A caller that closes only its sending side counts
  // as gone too, since both look alike.
  virtual void OnCallerGone(std::function<void()> hook) = 0;
};

// Runs on a thread of the server's context, for each connection on its strand,
// so it must not block. A handler that lets go of the responder without an
// answer gives the caller a 500.
using HttpHandler =
    std::function<void(HttpRequest, std::shared_ptr<HttpResponder>)>;

// Bounds that hold for each connection of a server.
struct HttpServerLimits {
  std::size_t max_header_bytes = 16UL * 1024;
  std::size_t max_body_bytes = 4UL * 1024 * 1024;
  std::size_t max_connections = 20000;
  // A request's header must arrive whole within this time of its first byte.
  Duration header_timeout = Duration::Seconds(20);
  // The same for the whole request.
  Duration request_timeout = Duration::Seconds(20);
  // A connection without a request is closed after this time.
  Duration idle_timeout = Duration::Seconds(75);
  // The same once the server stops. Not zero: a request may be on its way.
  Duration stopping_idle_timeout = Duration::Seconds(2);
  // A caller that takes no byte of its answer for this time counts as gone.
  Duration write_timeout = Duration::Seconds(30);
  // How long a refused caller may go on sending before the close. Closing at
  // once would reset the connection and the refusal would be lost.
  Duration linger_timeout = Duration::Seconds(2);
};

// What operators set of these while a server runs.
struct HttpRequestLimits {
  std::size_t max_header_bytes = 0;
  std::size_t max_body_bytes = 0;
  Duration header_timeout;
  Duration idle_timeout;
};

// How far a request got, which decides whether it may have run.
enum class HttpProgress {
  // No byte of the request was given to the kernel: it was not run.
  kNothingSent,
  // Some byte may have left: it may have run.
  kMaybeSent,
  // The answer's head arrived, then the connection broke.
  kAnswerBegun,
};

enum class HttpFailureKind {
  kConnectRefused,
  kConnectTimeout,
  kConnectionReset,
  // Nothing arrived for the progress timeout.
  kSilent,
  kDeadline,
  // The answer broke the protocol or a bound, or names no length: such an
  // answer ends with its connection and a cut one would look whole.
  kMalformedAnswer,
  // The answer ended before its length or its last chunk.
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
  // Longest time without a byte of progress after the request was sent.
  Duration progress_timeout = Duration::Seconds(10);
  // Longest time for the whole exchange.
  Duration deadline = Duration::Seconds(60);
  std::size_t max_answer_bytes = 64UL * 1024 * 1024;
  // Uses a pooled connection where one is free. Requests that may not be
  // repeated use a new one, since a pooled connection may have died unseen.
  bool reuse_connection = true;
  // Takes an answer without a length, which ends with its connection. One that
  // is reset is still an error; whether an orderly close is the answer's end is
  // for the caller of the client to know.
  bool accept_unframed = false;
};

// Receives one exchange. All calls come on threads of the client's context, on
// the connection's strand, in order, never from within `Send`, and end with
// exactly one of `on_end` or `on_failure`.
struct HttpCallHandlers {
  // Right before the first byte of the request is given to the kernel. Returns
  // whether to go on; `false` ends the call as kCancelled, kNothingSent.
  std::function<bool()> before_send;
  std::function<void(const HttpResponse& head)> on_head;
  std::function<void(std::string_view chunk)> on_body;
  // The answer ended properly.
  std::function<void()> on_end;
  std::function<void(HttpFailure)> on_failure;
};

}  // namespace gcw

#endif  // TRANSPORT_HTTP_TYPES_H_
