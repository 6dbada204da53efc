#ifndef TRANSPORT_ENGINE_CLIENT_H_
#define TRANSPORT_ENGINE_CLIENT_H_

#include <cstdint>
#include <functional>

#include <boost/asio/io_context.hpp>

#include "state/state.h"
#include "transport/call_error.h"
#include "transport/http_client.h"

namespace gcw {

// Makes the calls to model engines and plain services other than callers'
// requests. All callbacks run on a thread of the context.
class EngineClient {
 public:
  explicit EngineClient(boost::asio::io_context& context);

  // Sends an order only if `may_send` returns true right before the first byte
  // is passed to the kernel. The order uses a new connection: a pooled one may
  // delay it and deliver it when its sender is no longer the controller. If the
  // error's progress is not `kNothingSent`, the engine may act on the order.
  void SendOrder(const Address& engine,
                 const EngineOrder& order,
                 Duration timeout,
                 std::function<bool()> may_send,
                 CallDone<EngineOrderReply> done);
  void ReadStatus(const Address& engine,
                  Duration timeout,
                  CallDone<EngineStatus> done);
  void ReadLoad(const Address& endpoint,
                Duration timeout,
                CallDone<LoadReport> done);
  // Reads the events with a sequence number greater than `after`.
  void ReadCacheEvents(const Address& engine,
                       std::int64_t after,
                       Duration timeout,
                       CallDone<CacheEventBatch> done);
  // The result is true if the engine held the attempt.
  void CancelAttempt(const Address& engine,
                     const AttemptId& attempt,
                     Duration timeout,
                     CallDone<bool> done);

  // Closes pooled connections to the engine, for example after one stalled.
  void CloseIdleConnections(const Address& engine);

 private:
  HttpClient client_;
};

}  // namespace gcw

#endif  // TRANSPORT_ENGINE_CLIENT_H_
