#ifndef PROGRAMS_GCW_STANDIN_ENDPOINT_HTTP_FRONTEND_H_
#define PROGRAMS_GCW_STANDIN_ENDPOINT_HTTP_FRONTEND_H_

#include <map>
#include <memory>

#include "programs/gcw_standin/group_pass.h"
#include "programs/gcw_standin/platform_engine.h"
#include "programs/gcw_standin/standin_server.h"

namespace gcw {

// Runs one endpoint of the users' platform in a process of its own, which
// registers with a `PlatformHttpFrontend`. Unlike the endpoints that run there,
// it can be stopped, continued and killed by signals.
//
// `GET /standin/runs` returns how many requests it has started. `POST
// /standin/cooldown?ms=N` makes it refuse requests and ask for that cooldown,
// or accept them without `ms`.
class EndpointHttpFrontend {
 public:
  struct Settings {
    // Address of the platform's stand-in.
    Address platform;
    std::string ip = "127.0.0.1";
    PlatformEngine::Settings engine;
  };

  EndpointHttpFrontend(StandinServer& server, Settings settings);

  StandinServer::Hooks MakeHooks();

 private:
  void Handle(const HttpRequest& request, HttpResponder& responder);
  // Sends the registration. A change while a call is in progress is sent after
  // it, so that an older registration never replaces a newer one.
  void Register();
  void OnRegistered(const HttpResponse& answer);
  // Follows the endpoint's part in its group.
  void UpdatePass();

  StandinServer& server_;
  Settings settings_;
  HttpClient client_;
  GroupPass pass_;
  PlatformEngine engine_;
  std::map<VmId, Address> addresses_;
  bool is_registering_ = false;
  bool has_changed_ = false;
};

}  // namespace gcw

#endif  // PROGRAMS_GCW_STANDIN_ENDPOINT_HTTP_FRONTEND_H_
