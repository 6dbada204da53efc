#ifndef TRANSPORT_HTTP_CONNECTION_H_
#define TRANSPORT_HTTP_CONNECTION_H_

#include <chrono>
#include <memory>
#include <utility>

#include "transport/descriptor_budget.h"
#include "transport/net_types.h"

namespace gcw {

// A client connection and the strand on which its calls run.
struct HttpConnection {
  HttpConnection(boost::asio::io_context& context,
                 std::shared_ptr<DescriptorBudget> descriptors)
      : strand(boost::asio::make_strand(context)),
        socket(strand),
        token(std::move(descriptors)) {}

  Strand strand;
  StrandSocket socket;
  DescriptorBudget::Token token;
  // The connection is not reused after it has been idle for this time.
  Duration idle_timeout = Duration::Seconds(30);
  // When the connection returned to the pool.
  std::chrono::steady_clock::time_point idle_since;
};

}  // namespace gcw

#endif  // TRANSPORT_HTTP_CONNECTION_H_
