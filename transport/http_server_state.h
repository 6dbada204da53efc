#ifndef TRANSPORT_HTTP_SERVER_STATE_H_
#define TRANSPORT_HTTP_SERVER_STATE_H_

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <mutex>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "transport/eviction_order.h"
#include "transport/http_types.h"

namespace gcw {

class HttpServerSession;

// State shared by the connections of one server. Safe for use from any thread.
class HttpServerState {
 public:
  HttpServerState(HttpServerLimits limits, HttpHandler handler);

  // The limits given at the start. Those that may change have accessors of
  // their own below.
  const HttpServerLimits& limits() const { return limits_; }
  std::size_t max_header_bytes() const { return max_header_bytes_; }
  std::size_t max_body_bytes() const { return max_body_bytes_; }
  Duration header_timeout() const {
    return Duration::Millis(header_timeout_ms_);
  }
  Duration idle_timeout() const { return Duration::Millis(idle_timeout_ms_); }
  // Applies to requests that begin from now on.
  void SetRequestLimits(const HttpRequestLimits& limits);
  const HttpHandler& handler() const { return handler_; }
  bool stopping() const { return stopping_; }
  void set_stopping() { stopping_ = true; }
  // True once the server is destroyed; no handler is called from then on.
  bool closed() const { return closed_; }
  void set_closed() { closed_ = true; }

  // Counts bytes that a connection buffers.
  void AddBuffered(std::size_t bytes) { buffered_bytes_ += bytes; }
  void RemoveBuffered(std::size_t bytes) { buffered_bytes_ -= bytes; }
  // Counts unsent bytes of a connection whose caller does not read. Closes the
  // connection that is blocked for longest if there are too many.
  void AddBlocked(std::size_t bytes);
  void RemoveBlocked(std::size_t bytes) { blocked_bytes_ -= bytes; }
  // Returns a number that grows with each call.
  std::uint64_t NextBlockedNumber() { return ++last_blocked_number_; }
  // Makes room for this many bytes more of the session's request. Evicts
  // requests that have stalled if there is none. Returns false if the session's
  // request must be refused.
  bool MakeRoom(std::size_t bytes, const HttpServerSession* session);
  std::size_t buffered_bytes() const { return buffered_bytes_; }
  std::int64_t out_of_memory() const { return out_of_memory_; }

  std::int64_t evicted_requests() const { return evicted_requests_; }
  std::int64_t evicted_connections() const { return evicted_connections_; }
  std::int64_t refused_connections() const { return refused_connections_; }

  enum class Admission { kServe, kRefuse, kDrop };
  // Adds a connection. At the limit, another connection gives way to it. If
  // there is none, some connections beyond the limit are sent an error, and the
  // rest are dropped.
  Admission Add(const std::shared_ptr<HttpServerSession>& session);
  void Remove(const HttpServerSession* session);
  // Called when the connection's standing has changed or it has made progress.
  void Move(const HttpServerSession* session, EvictionOrder::Standing standing);
  std::size_t open_connections() const;
  std::vector<std::shared_ptr<HttpServerSession>> Sessions() const;

 private:
  // Maximum number of connections beyond the limit that are sent an error at a
  // time.
  static constexpr std::size_t kMaxRefused = 32;
  // Minimum time between two log lines about the same limit.
  static constexpr Duration kLogInterval = Duration::Seconds(10);

  struct Member {
    std::weak_ptr<HttpServerSession> session;
    EvictionOrder::Handle place;
  };

  static Time Now();
  bool HasRoom(std::size_t bytes) const {
    return buffered_bytes_ + bytes <=
           limits_.max_buffered_bytes + yielding_bytes_;
  }
  // Whether a connection that has been accepted, but not added, is one too
  // many. The mutex must be held.
  bool IsFull() const;
  std::shared_ptr<HttpServerSession> EvictForBytes();
  // Logs that the limit is reached, unless it has been logged recently.
  void LogLimit(std::string_view event,
                std::size_t value,
                std::atomic<std::int64_t>& last_logged_ms) const;

  const HttpServerLimits limits_;
  const HttpHandler handler_;
  std::atomic<std::size_t> max_header_bytes_;
  std::atomic<std::size_t> max_body_bytes_;
  std::atomic<std::int64_t> header_timeout_ms_;
  std::atomic<std::int64_t> idle_timeout_ms_;
  std::atomic<std::size_t> buffered_bytes_ = 0;
  // Bytes of evicted requests, which are released soon.
  std::atomic<std::size_t> yielding_bytes_ = 0;
  std::atomic<std::size_t> blocked_bytes_ = 0;
  std::atomic<std::uint64_t> last_blocked_number_ = 0;
  std::atomic<std::int64_t> out_of_memory_ = 0;
  std::atomic<std::int64_t> evicted_requests_ = 0;
  std::atomic<std::int64_t> evicted_connections_ = 0;
  std::atomic<std::int64_t> refused_connections_ = 0;
  std::atomic<std::int64_t> memory_logged_ms_ = 0;
  std::atomic<std::int64_t> connections_logged_ms_ = 0;
  std::atomic<bool> stopping_ = false;
  std::atomic<bool> closed_ = false;
  mutable std::mutex mutex_;
  std::unordered_map<const HttpServerSession*, Member> sessions_;
  EvictionOrder eviction_order_;
};

}  // namespace gcw

#endif  // TRANSPORT_HTTP_SERVER_STATE_H_
