#include "transport/http_server_state.h"

#include <chrono>
#include <utility>

#include "transport/http_server_session.h"
#include "transport/json_log.h"

namespace gcw {

HttpServerState::HttpServerState(HttpServerLimits limits, HttpHandler handler)
    : limits_(std::move(limits)),
      handler_(std::move(handler)),
      max_header_bytes_(limits_.max_header_bytes),
      max_body_bytes_(limits_.max_body_bytes),
      header_timeout_ms_(limits_.header_timeout.millis()),
      idle_timeout_ms_(limits_.idle_timeout.millis()) {}

void HttpServerState::SetRequestLimits(const HttpRequestLimits& limits) {
  max_header_bytes_ = limits.max_header_bytes;
  max_body_bytes_ = limits.max_body_bytes;
  header_timeout_ms_ = limits.header_timeout.millis();
  idle_timeout_ms_ = limits.idle_timeout.millis();
}

void HttpServerState::AddBlocked(std::size_t bytes) {
  blocked_bytes_ += bytes;
  if (blocked_bytes_ <= limits_.max_blocked_bytes) {
    return;
  }
  std::shared_ptr<HttpServerSession> slowest;
  for (const std::shared_ptr<HttpServerSession>& session : Sessions()) {
    const std::uint64_t number = session->blocked_number();
    if (number != 0 && (!slowest || number < slowest->blocked_number())) {
      slowest = session;
    }
  }
  if (slowest) {
    LogEvent(LogSeverity::kWarning, "caller_reads_too_slowly",
             {{"unsent_bytes",
               static_cast<std::int64_t>(slowest->outbox().unsent_bytes())}});
    slowest->Close();
  }
}

HttpServerState::Admission HttpServerState::Add(
    const std::shared_ptr<HttpServerSession>& session) {
  std::shared_ptr<HttpServerSession> evicted;
  Admission admission = Admission::kServe;
  std::size_t open_connections = 0;
  {
    const std::lock_guard lock(mutex_);
    open_connections = sessions_.size();
    if (closed_ || open_connections >= limits_.max_connections + kMaxRefused) {
      return Admission::kDrop;
    }
    if (IsFull()) {
      const HttpServerSession* oldest =
          eviction_order_.EvictForConnection(Now());
      admission = oldest != nullptr ? Admission::kServe : Admission::kRefuse;
      if (oldest != nullptr) {
        evicted = sessions_.at(oldest).session.lock();
      }
    }
    sessions_.emplace(
        session.get(),
        Member{session,
               eviction_order_.Add(session.get(),
                                   admission == Admission::kServe
                                       ? EvictionOrder::Standing::kSilent
                                       : EvictionOrder::Standing::kProtected,
                                   Now())});
  }
  if (evicted) {
    ++evicted_connections_;
    evicted->ReleaseConnection();
  }
  if (evicted || admission == Admission::kRefuse) {
    LogLimit("connections_full", open_connections, connections_logged_ms_);
  }
  refused_connections_ += admission == Admission::kRefuse ? 1 : 0;
  return admission;
}

bool HttpServerState::IsFull() const {
  return sessions_.size() >= limits_.max_connections ||
         (limits_.descriptors &&
          limits_.descriptors->used() > limits_.max_descriptors);
}

void HttpServerState::Remove(const HttpServerSession* session) {
  const std::lock_guard lock(mutex_);
  const auto found = sessions_.find(session);
  if (found != sessions_.end()) {
    eviction_order_.Remove(found->second.place);
    sessions_.erase(found);
  }
}

void HttpServerState::Move(const HttpServerSession* session,
                           EvictionOrder::Standing standing) {
  const std::lock_guard lock(mutex_);
  const auto found = sessions_.find(session);
  if (found != sessions_.end()) {
    eviction_order_.Move(found->second.place, standing, Now());
  }
}

bool HttpServerState::MakeRoom(std::size_t bytes,
                               const HttpServerSession* session) {
  while (!HasRoom(bytes)) {
    const std::shared_ptr<HttpServerSession> evicted = EvictForBytes();
    LogLimit("request_memory_full", buffered_bytes_, memory_logged_ms_);
    if (!evicted || evicted.get() == session) {
      ++out_of_memory_;
      return false;
    }
    ++evicted_requests_;
    const std::size_t released = evicted->counted_bytes();
    yielding_bytes_ += released;
    evicted->ReleaseRequest([this, released] { yielding_bytes_ -= released; });
  }
  return true;
}

std::shared_ptr<HttpServerSession> HttpServerState::EvictForBytes() {
  const std::lock_guard lock(mutex_);
  const HttpServerSession* evicted = eviction_order_.EvictForBytes(Now());
  return evicted != nullptr ? sessions_.at(evicted).session.lock() : nullptr;
}

void HttpServerState::LogLimit(
    std::string_view event,
    std::size_t value,
    std::atomic<std::int64_t>& last_logged_ms) const {
  const std::int64_t now = Now().millis();
  std::int64_t last = last_logged_ms;
  if ((last == 0 || now - last >= kLogInterval.millis()) &&
      last_logged_ms.compare_exchange_strong(last, now)) {
    LogEvent(LogSeverity::kWarning, std::string(event),
             {{"value", static_cast<std::int64_t>(value)}});
  }
}

Time HttpServerState::Now() {
  return Time::FromMillis(
      std::chrono::duration_cast<std::chrono::milliseconds>(
          std::chrono::steady_clock::now().time_since_epoch())
          .count());
}

std::size_t HttpServerState::open_connections() const {
  const std::lock_guard lock(mutex_);
  return sessions_.size();
}

std::vector<std::shared_ptr<HttpServerSession>> HttpServerState::Sessions()
    const {
  std::vector<std::shared_ptr<HttpServerSession>> sessions;
  const std::lock_guard lock(mutex_);
  for (const auto& [key, member] : sessions_) {
    if (auto session = member.session.lock()) {
      sessions.push_back(std::move(session));
    }
  }
  return sessions;
}

}  // namespace gcw
