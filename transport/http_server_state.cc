#include "transport/http_server_state.h"

#include <utility>

namespace gcw {

HttpServerState::HttpServerState(HttpServerLimits limits, HttpHandler handler)
    : limits_(limits),
      handler_(std::move(handler)),
      max_header_bytes_(limits.max_header_bytes),
      max_body_bytes_(limits.max_body_bytes),
      header_timeout_ms_(limits.header_timeout.millis()),
      idle_timeout_ms_(limits.idle_timeout.millis()) {}

void HttpServerState::SetRequestLimits(const HttpRequestLimits& limits) {
  max_header_bytes_ = limits.max_header_bytes;
  max_body_bytes_ = limits.max_body_bytes;
  header_timeout_ms_ = limits.header_timeout.millis();
  idle_timeout_ms_ = limits.idle_timeout.millis();
}

HttpServerState::Admission HttpServerState::Add(
    const std::shared_ptr<HttpServerSession>& session) {
  const std::lock_guard lock(mutex_);
  if (closed_ || sessions_.size() >= limits_.max_connections + kMaxRefused) {
    return Admission::kDrop;
  }
  sessions_.emplace(session.get(), session);
  return sessions_.size() > limits_.max_connections ? Admission::kRefuse
                                                    : Admission::kServe;
}

void HttpServerState::Remove(const HttpServerSession* session) {
  const std::lock_guard lock(mutex_);
  sessions_.erase(session);
}

std::size_t HttpServerState::open_connections() const {
  const std::lock_guard lock(mutex_);
  return sessions_.size();
}

std::vector<std::shared_ptr<HttpServerSession>> HttpServerState::Sessions()
    const {
  std::vector<std::shared_ptr<HttpServerSession>> sessions;
  const std::lock_guard lock(mutex_);
  for (const auto& [key, weak] : sessions_) {
    if (auto session = weak.lock()) {
      sessions.push_back(std::move(session));
    }
  }
  return sessions;
}

}  // namespace gcw
