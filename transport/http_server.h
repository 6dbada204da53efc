#ifndef TRANSPORT_HTTP_SERVER_H_
#define TRANSPORT_HTTP_SERVER_H_

#include <cstdint>
#include <memory>
#include <string>
#include <variant>

#include <boost/asio/io_context.hpp>

#include "transport/http_types.h"

namespace gcw {

enum class ListenErrorKind { kAddressMalformed, kAddressInUse, kRefused };

struct ListenError {
  ListenErrorKind kind;
};

// Serves HTTP/1.1 on one address. Malformed, oversized, slow and half-closed
// requests are answered with a typed JSON error or a close, and never reach the
// handler.
class HttpServer {
 public:
  // Port 0 lets the kernel choose a port. The handler runs on the threads of
  // `context`, which must outlive the server.
  static Result<std::unique_ptr<HttpServer>, ListenError> Listen(
      boost::asio::io_context& context,
      const std::string& ip,
      std::uint16_t port,
      HttpServerLimits limits,
      HttpHandler handler);

  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  std::uint16_t port() const;
  // Applies to requests that begin from now on and to connections that become
  // idle. Safe from any thread.
  void SetRequestLimits(const HttpRequestLimits& limits);
  // Makes every further response announce that its connection closes. New
  // connections are still accepted, because callers keep using this address
  // until they ask for addresses again.
  void AnnounceStop();
  // Accepts no new connections. Open ones close after their current request, or
  // shortly after a response that promised to keep the connection open.
  void StopAccepting();
  std::size_t open_connections() const;
  // Bytes of requests and of unsent responses of all connections.
  std::size_t buffered_bytes() const;
  // Number of requests that were refused for want of memory.
  std::int64_t out_of_memory() const;
  // Numbers of requests and connections that gave way to others, and of
  // connections that were refused.
  std::int64_t evicted_requests() const;
  std::int64_t evicted_connections() const;
  std::int64_t refused_connections() const;
  // Whether any connection has bytes to send, or has received a part of a
  // request.
  bool has_busy_connections() const;

 private:
  struct State;
  explicit HttpServer(std::shared_ptr<State> state);

  std::shared_ptr<State> state_;
};

}  // namespace gcw

#endif  // TRANSPORT_HTTP_SERVER_H_
