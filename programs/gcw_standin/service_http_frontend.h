#ifndef PROGRAMS_GCW_STANDIN_SERVICE_HTTP_FRONTEND_H_
#define PROGRAMS_GCW_STANDIN_SERVICE_HTTP_FRONTEND_H_

#include <memory>

#include "programs/gcw_standin/standin_server.h"
#include "programs/gcw_standin/standin_service.h"
#include "programs/gcw_standin/value_history.h"

namespace gcw {

// Serves a `StandinService` over HTTP. `GET /executions` returns the counts of
// the calls that were executed.
class ServiceHttpFrontend {
 public:
  ServiceHttpFrontend(StandinServer& server,
                      StandinService::Settings settings,
                      Duration delay);

  StandinServer::Hooks MakeHooks();

 private:
  void Handle(const HttpRequest& request,
              const std::shared_ptr<HttpResponder>& responder);
  void RunCall(const HttpRequest& request,
               const std::shared_ptr<HttpResponder>& responder);
  void RespondLoad(HttpResponder& responder) const;

  StandinServer& server_;
  StandinService service_;
  Duration delay_;
  ValueHistory<LoadReport> load_reports_;
};

}  // namespace gcw

#endif  // PROGRAMS_GCW_STANDIN_SERVICE_HTTP_FRONTEND_H_
