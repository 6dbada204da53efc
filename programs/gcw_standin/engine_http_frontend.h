#ifndef PROGRAMS_GCW_STANDIN_ENGINE_HTTP_FRONTEND_H_
#define PROGRAMS_GCW_STANDIN_ENGINE_HTTP_FRONTEND_H_

#include <cstdint>
#include <map>
#include <memory>
#include <vector>

#include "programs/gcw_standin/standin_engine.h"
#include "programs/gcw_standin/standin_server.h"
#include "transport/transport.h"

namespace gcw {

// Serves a `StandinEngine` over HTTP. `GET /executions` returns the counts of
// the requests that were executed.
class EngineHttpFrontend {
 public:
  struct Settings {
    StandinEngine::Settings engine;
    // If empty, a load takes a fixed time and fetches nothing.
    Address weight_store;
    std::int64_t shard_bytes = 1000000000;
  };

  EngineHttpFrontend(StandinServer& server, Settings settings);

  StandinServer::Hooks MakeHooks();

 private:
  struct Exchange {
    std::shared_ptr<HttpResponder> responder;
    AttemptId attempt;
    bool stream = false;
    bool stream_started = false;
  };

  void Handle(Time now,
              const HttpRequest& request,
              std::shared_ptr<HttpResponder> responder);
  // Answers the read-only paths. Returns false if the path is none of them.
  bool HandleRead(Time now,
                  const HttpRequest& request,
                  HttpResponder& responder) const;
  void HandleOrder(Time now,
                   const HttpRequest& request,
                   HttpResponder& responder);
  void HandleCancel(const HttpRequest& request, HttpResponder& responder);
  void HandleChat(Time now,
                  const HttpRequest& request,
                  std::shared_ptr<HttpResponder> responder);

  void Execute(const std::vector<EngineAction>& actions);
  void Execute(const SendToken& action);
  void Execute(const FinishAnswer& action);
  void Execute(const AbortAnswer& action);
  void Execute(const RejectCall& action);
  void Execute(const PollMember& action);
  void Execute(const FetchWeights& action);

  void StartStream(Exchange& exchange);
  // Removes the exchange and returns it. The result has no responder if the
  // exchange has already ended.
  Exchange TakeExchange(Ticket ticket);
  void OnFaultsChanged();

  StandinServer& server_;
  Settings settings_;
  StandinEngine engine_;
  HttpClient client_;
  Ticket last_ticket_;
  std::map<Ticket, Exchange> exchanges_;
  std::int64_t cache_gaps_ = 0;
};

}  // namespace gcw

#endif  // PROGRAMS_GCW_STANDIN_ENGINE_HTTP_FRONTEND_H_
