#include "programs/gcw_standin/service_shell.h"

#include <utility>

#include "programs/gcw_standin/http_answers.h"

namespace gcw {
namespace {

constexpr Duration kReportPeriod = Duration::Millis(50);
constexpr std::string_view kLoadPath = "/load";
constexpr std::string_view kExecutionsPath = "/executions";

bool IsWork(const HttpRequest& request) {
  return request.target != kLoadPath;
}

bool IsWrite(const HttpRequest& request) {
  return request.method != "GET" && request.method != "HEAD" &&
         request.method != "OPTIONS";
}

}  // namespace

ServiceShell::ServiceShell(StandinServer& server,
                           StandinService::Settings settings,
                           Duration delay)
    : server_(server), service_(std::move(settings)), delay_(delay) {
  reports_.Put(server.now(), service_.Load(server.now()));
  server.Every(kReportPeriod,
               [this](Time now) { reports_.Put(now, service_.Load(now)); });
}

StandinServer::Hooks ServiceShell::MakeHooks() {
  StandinServer::Hooks hooks;
  hooks.handle = [this](Time, const HttpRequest& request,
                        const std::shared_ptr<HttpResponder>& responder) {
    Handle(request, responder);
  };
  hooks.is_work = IsWork;
  hooks.is_write = IsWrite;
  return hooks;
}

void ServiceShell::Handle(const HttpRequest& request,
                          const std::shared_ptr<HttpResponder>& responder) {
  if (request.target == kLoadPath) {
    RespondLoad(*responder);
  } else if (request.target == kExecutionsPath) {
    responder->Respond(JsonResponse(200, service_.executions().ToJson("keys")));
  } else {
    Run(request, responder);
  }
}

void ServiceShell::Run(const HttpRequest& request,
                       const std::shared_ptr<HttpResponder>& responder) {
  const ServiceCall call{
      .method = request.method,
      .target = request.target,
      .idempotency_key = request.Header(kIdempotencyKeyHeader),
      .body = request.body};
  HttpResponse response = JsonResponse(200, service_.Begin(call));
  response.headers.push_back(
      {std::string(kAttemptHeader), request.Header(kAttemptHeader)});
  server_.After(delay_, [this, responder, response](Time) {
    service_.End();
    responder->Respond(response);
  });
}

void ServiceShell::RespondLoad(HttpResponder& responder) const {
  const LoadReport& report =
      reports_.At(server_.now() - server_.faults().lag).value;
  responder.Respond(JsonResponse(200, EncodeLoadReport(report)));
}

}  // namespace gcw
