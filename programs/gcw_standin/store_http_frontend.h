#ifndef PROGRAMS_GCW_STANDIN_STORE_HTTP_FRONTEND_H_
#define PROGRAMS_GCW_STANDIN_STORE_HTTP_FRONTEND_H_

#include <map>
#include <memory>
#include <vector>

#include "programs/gcw_standin/standin_server.h"
#include "programs/gcw_standin/standin_store.h"

namespace gcw {

// Serves a `StandinStore` over HTTP. `GET /counts` returns its counters of
// calls, writes and refusals.
class StoreHttpFrontend {
 public:
  StoreHttpFrontend(StandinServer& server, StandinStore::Settings settings);

  StandinServer::Hooks MakeHooks();

 private:
  void Handle(Time now,
              const HttpRequest& request,
              std::shared_ptr<HttpResponder> responder);
  void HandleCall(Time now,
                  const StoreCall& call,
                  std::shared_ptr<HttpResponder> responder);
  void Deliver(const std::vector<StoreAnswer>& answers);
  void RespondCounts(HttpResponder& responder) const;

  StandinStore store_;
  Ticket last_ticket_;
  std::map<Ticket, std::shared_ptr<HttpResponder>> responders_;
};

}  // namespace gcw

#endif  // PROGRAMS_GCW_STANDIN_STORE_HTTP_FRONTEND_H_
