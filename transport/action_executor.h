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

// Carries out the core's actions towards the platform, endpoints and other
// nodes, and hands the answers back as events.
class ActionExecutor {
 public:
  struct Clients {
    StoreClient* store = nullptr;
    VmListClient* vm_list = nullptr;
    EngineClient* engines = nullptr;
    // Towards endpoints; its pooled connections may be found dead.
    HttpClient* endpoints = nullptr;
    std::function<void(SendToPeer)> send_to_peer;
  };

  // The clients outlive the executor.
  ActionExecutor(boost::asio::io_context& context,
                 Clients clients,
                 Address weights,
                 Clock clock);

  // Where events go; callable from any thread.
  void SetPost(std::function<void(NodeEvent)> post) { post_ = std::move(post); }

  // All on the control thread.
  void Execute(const CallStore& action);
  void Execute(SendToPeer action);
  void Execute(const SendProbe& action);
  void Execute(const SendOrder& action);
  void Execute(const ReadVmList& action);
  void Execute(const ReadWeightStore& action);
  void Execute(const ReadLoad& action);
  void Execute(const ReadCacheEvents& action);
  void Execute(const DropConnections& action);
  // The core spreads records itself.
  void Execute(const PublishRecord&) {}

 private:
  void ProbeEngine(const SendProbe& action);
  void ProbeService(const SendProbe& action);

  HttpClient platform_;
  Clients clients_;
  Address weights_;
  Clock clock_;
  std::function<void(NodeEvent)> post_;
};

}  // namespace gcw

#endif  // TRANSPORT_ACTION_EXECUTOR_H_
