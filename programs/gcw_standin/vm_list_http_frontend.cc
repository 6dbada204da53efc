#include "programs/gcw_standin/vm_list_http_frontend.h"

#include <utility>

#include "programs/gcw_standin/http_answers.h"

namespace gcw {
namespace {

constexpr std::string_view kPath = "/vms";

}  // namespace

VmListHttpFrontend::VmListHttpFrontend(StandinServer& server,
                                       std::vector<VmEntry> vms)
    : server_(server), list_(server.now(), std::move(vms)) {}

StandinServer::Hooks VmListHttpFrontend::MakeHooks() {
  StandinServer::Hooks hooks;
  hooks.handle = [this](Time now, const HttpRequest& request,
                        const std::shared_ptr<HttpResponder>& responder) {
    Handle(now, request, *responder);
  };
  hooks.is_workload = [](const HttpRequest& request) {
    return request.method == "GET";
  };
  hooks.is_write = [](const HttpRequest&) { return false; };
  return hooks;
}

void VmListHttpFrontend::Handle(Time now,
                                const HttpRequest& request,
                                HttpResponder& responder) {
  if (TargetPath(request.target) != kPath) {
    responder.Respond(NotFoundResponse());
    return;
  }
  if (request.method == "PUT") {
    Replace(now, request, responder);
    return;
  }
  const VmListSnapshot snapshot = list_.Read(now, server_.faults().lag);
  responder.Respond(JsonResponse(200, EncodeVmList(snapshot)));
}

void VmListHttpFrontend::Replace(Time now,
                                 const HttpRequest& request,
                                 HttpResponder& responder) {
  Decoded<VmListSnapshot> snapshot = DecodeVmList(request.body);
  if (!IsOk(snapshot)) {
    responder.Respond(MalformedResponse(ErrorOf(snapshot)));
    return;
  }
  list_.Replace(now, std::move(ValueOf(snapshot).vms));
  responder.Respond(JsonResponse(200, "{}"));
}

}  // namespace gcw
