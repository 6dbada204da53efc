#ifndef TRANSPORT_HTTP_CONNECTION_H_
#define TRANSPORT_HTTP_CONNECTION_H_

#include <chrono>

#include "transport/net_types.h"

namespace gcw {

// A client's connection with the strand that its calls run on.
struct HttpConnection {
  explicit HttpConnection(boost::asio::io_context& context)
      : strand(boost::asio::make_strand(context)), socket(strand) {}

  Strand strand;
  StrandSocket socket;
  // How long it may be idle before it is used no more.
  Duration idle_limit = Duration::Seconds(30);
  // When it returned to the pool.
  std::chrono::steady_clock::time_point idle_since;
};

}  // namespace gcw

#endif  // TRANSPORT_HTTP_CONNECTION_H_
