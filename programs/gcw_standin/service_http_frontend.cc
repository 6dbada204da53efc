#include "programs/gcw_standin/service_http_frontend.h"

#include <utility>

#include "programs/gcw_standin/http_answers.h"

namespace gcw {
namespace {

constexpr Duration kReportInterval = Duration::Millis(50);
constexpr std::string_view kLoadPath = "/load";
constexpr std::string_view kExecutionsPath = "/executions";

bool IsWorkload(const HttpRequest& request) {
  return request.target != kLoadPath;
}

bool IsWrite(const HttpRequest& request) {
  return request.method != "GET" && request.method != "HEAD" &&
         request.method != "OPTIONS";
}

}  // namespace

ServiceHttpFrontend::ServiceHttpFrontend(StandinServer& server,
                                         StandinService::Settings settings,
                                         Duration delay)
    : server_(server), service_(std::move(settings)), delay_(delay) {
  load_reports_.Append(server.now(), service_.CurrentLoadReport(server.now()));
  server.RunEvery(kReportInterval, [this](Time now) {
    load_reports_.Append(now, service_.CurrentLoadReport(now));
  });
}

StandinServer::Hooks ServiceHttpFrontend::MakeHooks() {
  StandinServer::Hooks hooks;
  hooks.handle = [this](Time, const HttpRequest& request,
                        const std::shared_ptr<HttpResponder>& responder) {
    Handle(request, responder);
  };
  hooks.is_workload = IsWorkload;
  hooks.is_write = IsWrite;
  return hooks;
}

void ServiceHttpFrontend::Handle(
    const HttpRequest& request,
    const std::shared_ptr<HttpResponder>& responder) {
  if (request.target == kLoadPath) {
    RespondLoad(*responder);
  } else if (request.target == kExecutionsPath) {
    responder->Respond(JsonResponse(200, service_.executions().ToJson("keys")));
  } else {
    RunCall(request, responder);
  }
}

void ServiceHttpFrontend::RunCall(
    const HttpRequest& request,
    const std::shared_ptr<HttpResponder>& responder) {
  const ServiceCall call{
      .method = request.method,
      .target = request.target,
      .idempotency_key = request.Header(kIdempotencyKeyHeader),
      .body = request.body};
  HttpResponse response = JsonResponse(200, service_.BeginCall(call));
  response.headers.push_back(
      {std::string(kAttemptHeader), request.Header(kAttemptHeader)});
  server_.RunAfter(delay_, [this, responder, response](Time) {
    service_.EndCall();
    responder->Respond(response);
  });
}

void ServiceHttpFrontend::RespondLoad(HttpResponder& responder) const {
  const LoadReport& report =
      load_reports_.At(server_.now() - server_.faults().lag).value;
  responder.Respond(JsonResponse(200, EncodeLoadReport(report)));
}

}  // namespace gcw
