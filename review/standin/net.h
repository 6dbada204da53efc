// Blocking HTTP/1.1 over loopback, as small as the stand-ins need it.
#ifndef REVIEW_STANDIN_NET_H_
#define REVIEW_STANDIN_NET_H_

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <chrono>
#include <cstdlib>
#include <cstring>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>

namespace review {

using Clock = std::chrono::steady_clock;

inline double Now() {
  static const Clock::time_point start = Clock::now();
  return std::chrono::duration<double>(Clock::now() - start).count();
}

inline void Sleep(double seconds) {
  std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

inline std::string Lower(std::string text) {
  for (char& c : text) {
    c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
  }
  return text;
}

struct Message {
  std::string first_line;
  std::map<std::string, std::string> headers;  // names in lower case
  std::string body;

  std::string Header(const std::string& name) const {
    const auto found = headers.find(Lower(name));
    return found == headers.end() ? "" : found->second;
  }
};

inline sockaddr_in LoopbackAddress(int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

inline int PortOf(int fd) {
  sockaddr_in address{};
  socklen_t size = sizeof(address);
  getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  return ntohs(address.sin_port);
}

// Port 0 lets the kernel choose. Returns -1 if the port is in use.
inline int ListenOnLoopback(int port = 0) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int one = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
  const sockaddr_in address = LoopbackAddress(port);
  if (bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) !=
          0 ||
      listen(fd, 512) != 0) {
    close(fd);
    return -1;
  }
  return fd;
}

// Returns a port that is free, below those that the kernel chooses from, so that
// nothing else takes it before the process that it is for listens there.
inline int FreePort() {
  static int next = getpid() * 7;
  while (true) {
    const int port = 12000 + ++next % 18000;
    const int fd = ListenOnLoopback(port);
    if (fd >= 0) {
      close(fd);
      return port;
    }
  }
}

// Returns -1 if the address does not accept the connection. `receive_buffer`
// and `segment` are those of a caller on a slow link; 0 leaves the defaults.
inline int Connect(int port, int receive_buffer = 0, int segment = 0) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (receive_buffer > 0) {
    setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receive_buffer,
               sizeof(receive_buffer));
  }
  if (segment > 0) {
    setsockopt(fd, IPPROTO_TCP, TCP_MAXSEG, &segment, sizeof(segment));
  }
  const int one = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
  const sockaddr_in address = LoopbackAddress(port);
  if (connect(fd, reinterpret_cast<const sockaddr*>(&address),
              sizeof(address)) != 0) {
    close(fd);
    return -1;
  }
  return fd;
}

inline bool WriteAll(int fd, const std::string& bytes) {
  std::size_t done = 0;
  while (done < bytes.size()) {
    const ssize_t size =
        send(fd, bytes.data() + done, bytes.size() - done, MSG_NOSIGNAL);
    if (size <= 0) {
      return false;
    }
    done += static_cast<std::size_t>(size);
  }
  return true;
}

// Reads one message whose body has a length, is chunked or (`until_close`)
// ends with the connection. `rest` keeps what was read beyond it.
class Reader {
 public:
  explicit Reader(int fd) : fd_(fd) {}

  // Returns false if the connection ended first.
  bool Fill() {
    char bytes[65536];
    const ssize_t size = recv(fd_, bytes, sizeof(bytes), 0);
    if (size <= 0) {
      was_reset_ = size < 0;
      return false;
    }
    buffer_.append(bytes, static_cast<std::size_t>(size));
    return true;
  }

  bool ReadHead(Message& message) {
    std::size_t end = std::string::npos;
    while ((end = buffer_.find("\r\n\r\n")) == std::string::npos) {
      if (!Fill()) {
        return false;
      }
    }
    const std::string head = buffer_.substr(0, end + 2);
    buffer_.erase(0, end + 4);
    std::size_t line = head.find("\r\n");
    message = Message();
    message.first_line = head.substr(0, line);
    while ((line += 2) < head.size()) {
      const std::size_t next = head.find("\r\n", line);
      const std::string field = head.substr(line, next - line);
      const std::size_t colon = field.find(':');
      std::size_t value = colon + 1;
      while (value < field.size() && field[value] == ' ') {
        ++value;
      }
      message.headers[Lower(field.substr(0, colon))] = field.substr(value);
      line = next;
    }
    return true;
  }

  bool ReadBody(Message& message) {
    if (Lower(message.Header("Transfer-Encoding")) == "chunked") {
      return ReadChunks(message);
    }
    const std::size_t length =
        std::strtoull(message.Header("Content-Length").c_str(), nullptr, 10);
    while (buffer_.size() < length) {
      if (!Fill()) {
        return false;
      }
    }
    message.body = buffer_.substr(0, length);
    buffer_.erase(0, length);
    return true;
  }

  bool Read(Message& message) { return ReadHead(message) && ReadBody(message); }
  bool was_reset() const { return was_reset_; }
  std::string& buffer() { return buffer_; }

 private:
  bool ReadChunks(Message& message) {
    while (true) {
      std::size_t end = 0;
      while ((end = buffer_.find("\r\n")) == std::string::npos) {
        if (!Fill()) {
          return false;
        }
      }
      const std::size_t size = std::strtoull(buffer_.c_str(), nullptr, 16);
      while (buffer_.size() < end + 2 + size + 2) {
        if (!Fill()) {
          return false;
        }
      }
      message.body.append(buffer_, end + 2, size);
      buffer_.erase(0, end + 2 + size + 2);
      if (size == 0) {
        return true;
      }
    }
  }

  int fd_;
  std::string buffer_;
  bool was_reset_ = false;
};

// The handler returns false to close the connection.
using Handler = std::function<bool(int fd, Reader& reader, Message& request)>;

// One thread for each connection.
class Server {
 public:
  explicit Server(Handler handler)
      : state_(std::make_shared<State>()), handler_(std::move(handler)) {
    state_->listener = ListenOnLoopback();
    if (state_->listener < 0) {
      std::perror("listen");
      _exit(2);
    }
    port_ = PortOf(state_->listener);
    std::thread([state = state_, handler = handler_] {
      while (true) {
        const int fd = accept4(state->listener, nullptr, nullptr, SOCK_CLOEXEC);
        const std::lock_guard lock(state->mutex);
        if (state->has_ended) {
          return;
        }
        if (fd < 0) {
          continue;
        }
        const int one = 1;
        setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
        state->connections.insert(fd);
        std::thread([state, handler, fd] { ServeConnection(state, handler, fd); })
            .detach();
      }
    }).detach();
  }

  int port() const { return port_; }

  // Ends as a process does: nothing listens any more, and connections close.
  void End() {
    const std::lock_guard lock(state_->mutex);
    if (state_->has_ended) {
      return;
    }
    state_->has_ended = true;
    shutdown(state_->listener, SHUT_RDWR);
    close(state_->listener);
    for (const int fd : state_->connections) {
      shutdown(fd, SHUT_RDWR);
    }
  }

 private:
  struct State {
    std::mutex mutex;
    int listener = -1;
    bool has_ended = false;
    std::set<int> connections;
  };

  static void ServeConnection(const std::shared_ptr<State>& state,
                              const Handler& handler,
                              int fd) {
    Reader reader(fd);
    Message request;
    while (reader.ReadHead(request) && handler(fd, reader, request)) {
    }
    const std::lock_guard lock(state->mutex);
    state->connections.erase(fd);
    close(fd);
  }

  std::shared_ptr<State> state_;
  Handler handler_;
  int port_ = 0;
};

inline std::string Response(int status,
                            const std::string& headers,
                            const std::string& body) {
  return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + headers +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// One call on a connection of its own; the status is 0 without an answer.
inline int Call(int port,
                const std::string& method,
                const std::string& target,
                const std::string& headers,
                const std::string& body,
                Message* answer = nullptr) {
  const int fd = Connect(port);
  if (fd < 0) {
    return 0;
  }
  Message message;
  Reader reader(fd);
  const bool is_answered =
      WriteAll(fd, method + " " + target + " HTTP/1.1\r\nHost: desk.example\r\n" +
                       headers + "Content-Length: " +
                       std::to_string(body.size()) + "\r\n\r\n" + body) &&
      reader.Read(message);
  close(fd);
  if (answer != nullptr) {
    *answer = message;
  }
  return is_answered ? std::atoi(message.first_line.c_str() + 9) : 0;
}

}  // namespace review

#endif  // REVIEW_STANDIN_NET_H_
