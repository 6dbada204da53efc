#ifndef TRANSPORT_HTTP_CONNECTION_POOL_H_
#define TRANSPORT_HTTP_CONNECTION_POOL_H_

#include <chrono>
#include <cstddef>
#include <memory>
#include <mutex>
#include <unordered_map>
#include <vector>

#include <boost/asio/steady_timer.hpp>

#include "state/state.h"
#include "transport/http_connection.h"

namespace gcw {

// Idle connections by address; the most recently used one is reused first. Safe
// for use from any thread. An idle connection may die without notice, so it is
// kept for at most `kMaxIdleTime`.
class HttpConnectionPool
    : public std::enable_shared_from_this<HttpConnectionPool> {
 public:
  static constexpr Duration kMaxIdleTime = Duration::Seconds(30);
  static constexpr std::size_t kMaxPerAddress = 64;
  static constexpr std::size_t kMaxTotal = 2048;

  explicit HttpConnectionPool(boost::asio::io_context& context);

  // Returns an idle connection that has no unread input, or null.
  std::unique_ptr<HttpConnection> Take(const Address& address);
  // Adds an idle connection. It is closed instead if the pool is full or
  // closed.
  void Put(const Address& address, std::unique_ptr<HttpConnection> connection);
  void CloseConnections(const Address& address);
  // Closes all connections and accepts no more.
  void Close();
  std::size_t size() const;

 private:
  using SteadyClock = std::chrono::steady_clock;
  using Connections = std::vector<std::unique_ptr<HttpConnection>>;

  void ArmSweep();
  void Sweep();

  mutable std::mutex mutex_;
  boost::asio::steady_timer sweep_timer_;
  bool sweep_armed_ = false;
  bool closed_ = false;
  std::size_t size_ = 0;
  std::unordered_map<Address, Connections> idle_;
};

}  // namespace gcw

#endif  // TRANSPORT_HTTP_CONNECTION_POOL_H_
