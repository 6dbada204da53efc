#ifndef TRANSPORT_STORE_CLIENT_H_
#define TRANSPORT_STORE_CLIENT_H_

#include <functional>
#include <memory>

#include <boost/asio/io_context.hpp>

#include "state/state.h"
#include "transport/http_client.h"
#include "transport/store_health.h"

namespace gcw {

struct StoreClientSettings {
  Address address;
  // Time allowed from sending a call to its reply. A watch may take the time
  // that it waits in addition.
  Duration call_timeout = Duration::Seconds(2);
};

// Executes calls to the key-value service. A reply that is missing or cannot be
// decoded becomes `StoreNoAnswer`, after which a write may have taken effect.
// Watches, which wait for a long time, use connections of their own.
class StoreClient {
 public:
  // Runs on a thread of `context`, once for each call, never from within
  // `Call`.
  using Done = std::function<void(StoreReply)>;

  StoreClient(boost::asio::io_context& context, StoreClientSettings settings);

  void Call(const StoreCall& call, Done done);

 private:
  const StoreClientSettings settings_;
  // Shared with calls in progress, which may end after this client is
  // destroyed.
  std::shared_ptr<StoreHealthMonitor> health_monitor_;
  HttpClient calls_;
  HttpClient watches_;
};

}  // namespace gcw

#endif  // TRANSPORT_STORE_CLIENT_H_
