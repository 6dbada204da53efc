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
// requests get a typed JSON error or a close, and never reach the handler.
class HttpServer {
 public:
  // Port 0 lets the kernel choose. The handler runs on `context`'s threads. The
  // context must outlive the server.
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
  // Holds for requests that begin from now on, and for connections that become
  // idle. Safe from any thread.
  void SetRequestLimits(const HttpRequestLimits& limits);
  // Every further answer says that its connection closes. New connections are
  // still taken: callers go on coming until they have asked for addresses anew.
  void AnnounceStop();
  // Takes no new connections. Open ones end after the request they run, or
  // shortly after an answer that had promised to keep the connection.
  void StopAccepting();
  std::size_t open_connections() const;

 private:
  struct State;
  explicit HttpServer(std::shared_ptr<State> state);

  std::shared_ptr<State> state_;
};

}  // namespace gcw

#endif  // TRANSPORT_HTTP_SERVER_H_
