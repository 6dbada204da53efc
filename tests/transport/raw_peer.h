#ifndef TESTS_TRANSPORT_RAW_PEER_H_
#define TESTS_TRANSPORT_RAW_PEER_H_

#include <algorithm>
#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

namespace gcw {

// A blocking loopback connection for raw bytes.
class RawPeer {
 public:
  using Tcp = boost::asio::ip::tcp;

  explicit RawPeer(std::uint16_t port) : socket_(context_) {
    socket_.connect(
        Tcp::endpoint(boost::asio::ip::address_v4::loopback(), port));
  }
  explicit RawPeer(int accepted) : socket_(context_) {
    socket_.assign(Tcp::v4(), accepted);
  }

  // Makes the kernel transmit what is sent at once, so that a reset that
  // follows does not discard it.
  void DisableSendDelay() { socket_.set_option(Tcp::no_delay(true)); }
  // Returns whether all bytes were written.
  bool Send(std::string_view bytes) {
    boost::system::error_code error;
    boost::asio::write(socket_, boost::asio::buffer(bytes), error);
    return !error;
  }
  // Returns the bytes up to and including `end`, or up to the end of the
  // connection.
  std::string ReadUntil(std::string_view end) {
    boost::system::error_code error;
    const std::size_t size = boost::asio::read_until(
        socket_, boost::asio::dynamic_buffer(unread_), std::string(end), error);
    return ConsumeUnread(error ? unread_.size() : size);
  }
  std::string ReadToEnd() {
    boost::system::error_code error;
    boost::asio::read(socket_, boost::asio::dynamic_buffer(unread_), error);
    return ConsumeUnread(unread_.size());
  }
  // Reads the head of a message, without its body.
  std::string ReadHead() { return ReadUntil("\r\n\r\n"); }
  // Returns fewer bytes if the connection ends.
  std::string ReadExactly(std::size_t size) {
    boost::system::error_code error;
    if (unread_.size() < size) {
      boost::asio::read(socket_, boost::asio::dynamic_buffer(unread_),
                        boost::asio::transfer_exactly(size - unread_.size()),
                        error);
    }
    return ConsumeUnread(std::min(size, unread_.size()));
  }
  void CloseSending() {
    boost::system::error_code error;
    socket_.shutdown(Tcp::socket::shutdown_send, error);
  }
  void Close() {
    boost::system::error_code error;
    socket_.close(error);
  }
  void Reset() {
    boost::system::error_code error;
    socket_.set_option(boost::asio::socket_base::linger(true, 0), error);
    socket_.close(error);
  }

 private:
  std::string ConsumeUnread(std::size_t size) {
    std::string consumed = unread_.substr(0, size);
    unread_.erase(0, size);
    return consumed;
  }

  boost::asio::io_context context_;
  Tcp::socket socket_;
  std::string unread_;
};

// Listens on a free port and runs the script for each connection on a separate
// thread. Connections are numbered from 0.
class ScriptedServer {
 public:
  using Script = std::function<void(RawPeer&, int connection)>;

  explicit ScriptedServer(Script script)
      : script_(std::move(script)),
        acceptor_(context_, {boost::asio::ip::address_v4::loopback(), 0}),
        thread_([this] { Accept(); }) {}
  ~ScriptedServer() {
    stopping_ = true;
    RawPeer(port()).Close();
    thread_.join();
    for (std::thread& thread : scripts_) {
      thread.join();
    }
  }
  ScriptedServer(const ScriptedServer&) = delete;
  ScriptedServer& operator=(const ScriptedServer&) = delete;

  std::uint16_t port() const { return acceptor_.local_endpoint().port(); }
  int connections() const { return connections_; }

 private:
  void Accept() {
    while (true) {
      boost::asio::ip::tcp::socket socket(context_);
      acceptor_.accept(socket);
      if (stopping_) {
        return;
      }
      const int number = connections_++;
      scripts_.emplace_back([this, number, handle = socket.release()] {
        RawPeer peer(handle);
        script_(peer, number);
      });
    }
  }

  Script script_;
  boost::asio::io_context context_;
  boost::asio::ip::tcp::acceptor acceptor_;
  std::atomic<bool> stopping_ = false;
  std::atomic<int> connections_ = 0;
  std::vector<std::thread> scripts_;
  std::thread thread_;
};

}  // namespace gcw

#endif  // TESTS_TRANSPORT_RAW_PEER_H_
