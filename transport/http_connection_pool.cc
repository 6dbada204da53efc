#include "transport/http_connection_pool.h"

#include <utility>

#include "transport/socket_options.h"

namespace gcw {

HttpConnectionPool::HttpConnectionPool(boost::asio::io_context& context)
    : sweep_timer_(context) {}

std::unique_ptr<HttpConnection> HttpConnectionPool::Take(
    const Address& address) {
  const auto now = SteadyClock::now();
  const std::lock_guard lock(mutex_);
  const auto found = idle_.find(address);
  if (found == idle_.end()) {
    return nullptr;
  }
  Connections& connections = found->second;
  std::unique_ptr<HttpConnection> usable;
  while (!usable && !connections.empty()) {
    auto connection = std::move(connections.back());
    connections.pop_back();
    --size_;
    if (connection->idle_since + ToChrono(connection->idle_timeout) > now &&
        !HasUnreadInput(connection->socket)) {
      usable = std::move(connection);
    }
  }
  if (connections.empty()) {
    idle_.erase(found);
  }
  return usable;
}

void HttpConnectionPool::Put(const Address& address,
                             std::unique_ptr<HttpConnection> connection) {
  const std::lock_guard lock(mutex_);
  if (closed_ || size_ >= kMaxTotal) {
    return;
  }
  Connections& connections = idle_[address];
  if (connections.size() >= kMaxPerAddress) {
    return;
  }
  connection->idle_since = SteadyClock::now();
  connections.push_back(std::move(connection));
  ++size_;
  ArmSweep();
}

void HttpConnectionPool::CloseConnections(const Address& address) {
  const std::lock_guard lock(mutex_);
  const auto found = idle_.find(address);
  if (found == idle_.end()) {
    return;
  }
  size_ -= found->second.size();
  idle_.erase(found);
}

void HttpConnectionPool::Close() {
  const std::lock_guard lock(mutex_);
  closed_ = true;
  size_ = 0;
  idle_.clear();
  sweep_timer_.cancel();
}

std::size_t HttpConnectionPool::size() const {
  const std::lock_guard lock(mutex_);
  return size_;
}

void HttpConnectionPool::ArmSweep() {
  if (std::exchange(sweep_armed_, true)) {
    return;
  }
  sweep_timer_.expires_after(ToChrono(kMaxIdleTime / 2));
  sweep_timer_.async_wait(
      [weak = weak_from_this()](const boost::system::error_code& error) {
        const auto self = weak.lock();
        if (self && !error) {
          self->Sweep();
        }
      });
}

void HttpConnectionPool::Sweep() {
  const auto now = SteadyClock::now();
  const std::lock_guard lock(mutex_);
  sweep_armed_ = false;
  if (closed_) {
    return;
  }
  for (auto it = idle_.begin(); it != idle_.end();) {
    size_ -= std::erase_if(it->second, [&](const auto& connection) {
      return connection->idle_since + ToChrono(connection->idle_timeout) <= now;
    });
    it = it->second.empty() ? idle_.erase(it) : std::next(it);
  }
  if (size_ > 0) {
    ArmSweep();
  }
}

}  // namespace gcw
