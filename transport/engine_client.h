#ifndef TRANSPORT_ENGINE_CLIENT_H_
#define TRANSPORT_ENGINE_CLIENT_H_

#include <cstdint>
#include <functional>

#include <boost/asio/io_context.hpp>

#include "state/state.h"
#include "transport/call_error.h"
#include "transport/http_client.h"

namespace gcw {

// What nodes ask model engines and plain services beside requests. All answers
// come on a thread of the context.
class EngineClient {
 public:
  explicit EngineClient(boost::asio::io_context& context);

  // An order leaves only if `may_send` says so right before its first byte is
  // given to the kernel, and on a new connection: one that waited in a pool may
  // hold it up and deliver it when its sender is no longer the keeper. Where
  // the error's progress is not `kNothingSent`, the engine may act on it.
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
  // Events after the sequence number `after`.
  void ReadCacheEvents(const Address& engine,
                       std::int64_t after,
                       Duration timeout,
                       CallDone<CacheEventBatch> done);
  // The answer tells whether the engine held the attempt.
  void CancelAttempt(const Address& engine,
                     const AttemptId& attempt,
                     Duration timeout,
                     CallDone<bool> done);

  // Drops pooled connections, for example when one went silent.
  void ForgetConnections(const Address& engine);

 private:
  HttpClient client_;
};

}  // namespace gcw

#endif  // TRANSPORT_ENGINE_CLIENT_H_
