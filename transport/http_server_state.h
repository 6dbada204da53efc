#ifndef TRANSPORT_HTTP_SERVER_STATE_H_
#define TRANSPORT_HTTP_SERVER_STATE_H_

#include <atomic>
#include <cstddef>
#include <memory>
#include <mutex>
#include <unordered_map>
#include <vector>

#include "transport/http_types.h"

namespace gcw {

class HttpServerSession;

// What the connections of one server share. Safe for use from any thread.
class HttpServerState {
 public:
  HttpServerState(HttpServerLimits limits, HttpHandler handler);

  const HttpServerLimits& limits() const { return limits_; }
  const HttpHandler& handler() const { return handler_; }
  bool stopping() const { return stopping_; }
  void set_stopping() { stopping_ = true; }
  // The server is gone: no handler is called any more.
  bool closed() const { return closed_; }
  void set_closed() { closed_ = true; }

  enum class Admission { kServe, kRefuse, kDrop };
  // Adds a connection. Beyond the limit some are told so, and the rest dropped.
  Admission Add(const std::shared_ptr<HttpServerSession>& session);
  void Remove(const HttpServerSession* session);
  std::size_t open_connections() const;
  std::vector<std::shared_ptr<HttpServerSession>> Sessions() const;

 private:
  // Connections beyond the limit that are being told so at a time.
  static constexpr std::size_t kMaxRefused = 256;

  const HttpServerLimits limits_;
  const HttpHandler handler_;
  std::atomic<bool> stopping_ = false;
  std::atomic<bool> closed_ = false;
  mutable std::mutex mutex_;
  std::unordered_map<const HttpServerSession*, std::weak_ptr<HttpServerSession>>
      sessions_;
};

}  // namespace gcw

#endif  // TRANSPORT_HTTP_SERVER_STATE_H_
