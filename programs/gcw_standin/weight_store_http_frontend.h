#ifndef PROGRAMS_GCW_STANDIN_WEIGHT_STORE_HTTP_FRONTEND_H_
#define PROGRAMS_GCW_STANDIN_WEIGHT_STORE_HTTP_FRONTEND_H_

#include <cstdint>
#include <memory>

#include "programs/gcw_standin/standin_server.h"
#include "programs/gcw_standin/standin_weight_store.h"

namespace gcw {

// Serves a `StandinWeightStore` over HTTP. `POST /fetch {"bytes"}` is answered
// when the fetch is complete.
class WeightStoreHttpFrontend {
 public:
  WeightStoreHttpFrontend(StandinServer& server, std::int64_t bytes_per_second);

  StandinServer::Hooks MakeHooks();

 private:
  void Handle(Time now,
              const HttpRequest& request,
              const std::shared_ptr<HttpResponder>& responder);
  void Fetch(Time now,
             const HttpRequest& request,
             const std::shared_ptr<HttpResponder>& responder);

  StandinServer& server_;
  StandinWeightStore weights_;
};

}  // namespace gcw

#endif  // PROGRAMS_GCW_STANDIN_WEIGHT_STORE_HTTP_FRONTEND_H_
