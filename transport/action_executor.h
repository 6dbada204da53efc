#ifndef TRANSPORT_ACTION_EXECUTOR_H_
#define TRANSPORT_ACTION_EXECUTOR_H_

#include <functional>

#include <boost/asio/io_context.hpp>

#include "coordination/coordination.h"
#include "transport/engine_client.h"
#include "transport/http_client.h"
#include "transport/store_client.h"
#include "transport/vm_list_client.h"

namespace gcw {

// Executes the core's actions against the platform, endpoints and other nodes,
// and posts the responses back as events.
class ActionExecutor {
 public:
  struct Clients {
    StoreClient* store = nullptr;
    VmListClient* vm_list = nullptr;
    EngineClient* engines = nullptr;
    // The client that sends requests to endpoints. `DropConnections` closes its
    // pooled connections, which may be dead.
    HttpClient* endpoints = nullptr;
    std::function<void(SendToPeer)> send_to_peer;
  };

  // The clients must outlive the executor.
  ActionExecutor(boost::asio::io_context& context,
                 Clients clients,
                 Address weight_store,
                 Clock clock);

  // Sets the function that receives events. It must be callable from any
  // thread.
  void SetEventSink(std::function<void(NodeEvent)> event_sink) {
    event_sink_ = std::move(event_sink);
  }

  // All overloads are called on the control thread.
  void Execute(const CallStore& action);
  void Execute(SendToPeer action);
  void Execute(const SendProbe& action);
  void Execute(const SendOrder& action);
  void Execute(const ReadVmList& action);
  void Execute(const ReadWeightStore& action);
  void Execute(const ReadLoad& action);
  void Execute(const ReadCacheEvents& action);
  void Execute(const DropConnections& action);
  // Nothing to do: the core distributes records itself.
  void Execute(const PublishRecord&) {}

 private:
  void ProbeEngine(const SendProbe& action);
  void ProbeService(const SendProbe& action);

  HttpClient platform_;
  Clients clients_;
  Address weight_store_;
  Clock clock_;
  std::function<void(NodeEvent)> event_sink_;
};

}  // namespace gcw

#endif  // TRANSPORT_ACTION_EXECUTOR_H_
