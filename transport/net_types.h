#ifndef TRANSPORT_NET_TYPES_H_
#define TRANSPORT_NET_TYPES_H_

#include <chrono>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/strand.hpp>

#include "core/core.h"

namespace gcw {

// Serializes all work on one connection, whichever thread of the context runs
// it.
using Strand = boost::asio::strand<boost::asio::io_context::executor_type>;
using StrandSocket =
    boost::asio::basic_stream_socket<boost::asio::ip::tcp, Strand>;

inline std::chrono::milliseconds ToChrono(Duration duration) {
  return std::chrono::milliseconds(duration.millis());
}

}  // namespace gcw

#endif  // TRANSPORT_NET_TYPES_H_
