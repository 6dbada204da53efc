#include "programs/gcw_standin/weight_store_http_frontend.h"

#include "programs/gcw_standin/http_answers.h"

namespace gcw {

WeightStoreHttpFrontend::WeightStoreHttpFrontend(StandinServer& server,
                                                 std::int64_t bytes_per_second)
    : server_(server), weights_(bytes_per_second) {}

StandinServer::Hooks WeightStoreHttpFrontend::MakeHooks() {
  StandinServer::Hooks hooks;
  hooks.handle = [this](Time now, const HttpRequest& request,
                        const std::shared_ptr<HttpResponder>& responder) {
    Handle(now, request, responder);
  };
  hooks.is_workload = [](const HttpRequest&) { return true; };
  hooks.is_write = [](const HttpRequest& request) {
    return request.method == "POST";
  };
  return hooks;
}

void WeightStoreHttpFrontend::Handle(
    Time now,
    const HttpRequest& request,
    const std::shared_ptr<HttpResponder>& responder) {
  if (request.target == "/fetch") {
    Fetch(now, request, responder);
  } else if (request.target == "/weights") {
    responder->Respond(
        JsonResponse(200, EncodeWeightStoreStatus(weights_.Status(now))));
  } else {
    responder->Respond(NotFoundResponse());
  }
}

void WeightStoreHttpFrontend::Fetch(
    Time now,
    const HttpRequest& request,
    const std::shared_ptr<HttpResponder>& responder) {
  const auto bytes = DecodeJson(
      request.body, [](JsonReader& reader) { return reader.Count("bytes"); });
  if (!IsOk(bytes)) {
    responder->Respond(MalformedResponse(ErrorOf(bytes)));
    return;
  }
  const Time done = weights_.Enqueue(now, ValueOf(bytes));
  server_.RunAfter(done - now, [responder](Time) {
    responder->Respond(JsonResponse(200, "{}"));
  });
}

}  // namespace gcw
