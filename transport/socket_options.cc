#include "transport/socket_options.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

namespace gcw {

using boost::system::error_code;

void SetConnectionOptions(StrandSocket& socket, Duration ack_timeout) {
  using UserTimeout =
      boost::asio::detail::socket_option::integer<IPPROTO_TCP,
                                                  TCP_USER_TIMEOUT>;
  error_code error;
  socket.set_option(boost::asio::ip::tcp::no_delay(true), error);
  socket.set_option(UserTimeout(static_cast<int>(ack_timeout.millis())), error);
}

void LimitReceiveBuffer(StrandSocket& socket) {
  // The kernel raises this to its minimum.
  constexpr int kBytes = 1;
  boost::system::error_code ignored;
  socket.set_option(boost::asio::socket_base::receive_buffer_size(kBytes),
                    ignored);
}

void ResetOnClose(StrandSocket& socket) {
  error_code error;
  socket.set_option(boost::asio::socket_base::linger(true, 0), error);
}

bool HasUnreadInput(StrandSocket& socket) {
  char byte = 0;
  error_code error;
  socket.receive(boost::asio::buffer(&byte, 1), MSG_PEEK, error);
  return error != boost::asio::error::would_block;
}

}  // namespace gcw
