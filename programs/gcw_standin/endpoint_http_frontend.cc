#include "programs/gcw_standin/endpoint_http_frontend.h"

#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include <boost/json.hpp>

#include "programs/gcw_standin/http_answers.h"
#include "programs/gcw_standin/platform_documents.h"

namespace gcw {
namespace {

// A third of the time after which the platform removes a registration.
constexpr Duration kHeartbeatInterval = Duration::Millis(1200);
constexpr int kOk = 200;

}  // namespace

EndpointHttpFrontend::EndpointHttpFrontend(StandinServer& server,
                                           Settings settings)
    : server_(server),
      settings_(std::move(settings)),
      client_(server.context()),
      pass_(server, settings_.engine.event_interval),
      engine_(
          server,
          settings_.engine,
          [this](const PlatformEngine&) { return pass_.IsWhole(); },
          [this](const PlatformEngine&) {
            UpdatePass();
            Register();
          }) {
  engine_.Listen(settings_.ip);
  server_.RunEvery(kHeartbeatInterval, [this](Time) { Register(); });
}

StandinServer::Hooks EndpointHttpFrontend::MakeHooks() {
  StandinServer::Hooks hooks;
  hooks.handle = [this](Time, const HttpRequest& request,
                        const std::shared_ptr<HttpResponder>& responder) {
    Handle(request, *responder);
  };
  hooks.is_workload = [](const HttpRequest&) { return false; };
  hooks.is_write = [](const HttpRequest&) { return false; };
  return hooks;
}

void EndpointHttpFrontend::Handle(const HttpRequest& request,
                                  HttpResponder& responder) {
  const std::string_view path = TargetPath(request.target);
  if (path == "/standin/cooldown") {
    std::optional<Duration> cooldown;
    if (const auto millis = QueryNumber(request.target, "ms")) {
      cooldown = Duration::Millis(*millis);
    }
    engine_.SetCooldown(cooldown);
    responder.Respond({kOk, {}, {}});
    return;
  }
  if (path != "/standin/runs") {
    responder.Respond(NotFoundResponse());
    return;
  }
  const boost::json::object runs{
      {engine_.registration().id.value(), engine_.runs()}};
  responder.Respond(JsonResponse(kOk, boost::json::serialize(runs)));
}

void EndpointHttpFrontend::Register() {
  if (is_registering_) {
    has_changed_ = true;
    return;
  }
  is_registering_ = true;
  const VmRegistration& registration = engine_.registration();
  client_.Fetch(settings_.platform,
                {"POST",
                 "/standin/register?vm=" + registration.id.value(),
                 {},
                 EncodeRegistrationEntry(registration)},
                {}, [this](Result<HttpResponse, HttpFailure> answer) {
                  is_registering_ = false;
                  if (IsOk(answer)) {
                    OnRegistered(ValueOf(answer));
                  }
                  if (std::exchange(has_changed_, false)) {
                    Register();
                  }
                });
}

void EndpointHttpFrontend::OnRegistered(const HttpResponse& answer) {
  boost::json::error_code error;
  const boost::json::value value = boost::json::parse(answer.body, error);
  if (error || !value.is_object()) {
    return;
  }
  addresses_.clear();
  for (const auto& [vm, address] : value.as_object()) {
    addresses_[VmId(std::string(vm))] =
        Address(std::string(address.as_string()));
  }
  UpdatePass();
}

void EndpointHttpFrontend::UpdatePass() {
  const auto& membership = engine_.registration().membership;
  if (!membership || membership->rank != 0) {
    pass_.End();
    return;
  }
  pass_.Begin(engine_.members(), membership->group, addresses_);
}

}  // namespace gcw
