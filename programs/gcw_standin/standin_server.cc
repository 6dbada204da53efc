#include "programs/gcw_standin/standin_server.h"

#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <iostream>
#include <utility>

#include <boost/asio/steady_timer.hpp>

#include "programs/gcw_standin/http_answers.h"

namespace gcw {
namespace {

// Exit status after a request that matched the fault `crash_on`.
constexpr int kCrashStatus = 86;
// The timer counts in nanoseconds, so a longer delay could overflow.
constexpr Duration kMaxDelay = Duration::Seconds(365L * 24 * 3600);

// Returns whether the path belongs to the test interface, to which no fault
// applies.
bool IsTestPath(std::string_view path) {
  return path == "/faults" || path == "/executions" || path == "/counts";
}

bool IsCrashing(const Faults& faults, const HttpRequest& request) {
  return !faults.crash_on.empty() &&
         request.body.find(faults.crash_on) != std::string::npos;
}

void PrintStartupLine(const std::string& name,
                      const std::string& ip,
                      std::uint16_t port) {
  std::cout << boost::json::serialize(boost::json::object{
                   {"standin", name},
                   {"address", ip + ':' + std::to_string(port)},
                   {"port", port},
                   {"pid", getpid()}})
            << std::endl;
}

}  // namespace

StandinServer::StandinServer(boost::asio::io_context& context, Faults faults)
    : context_(context), faults_(std::move(faults)), clock_(SystemClock()) {}

Result<std::uint16_t, ListenError> StandinServer::Listen(
    const std::string& name,
    const std::string& ip,
    std::uint16_t port,
    Hooks hooks) {
  hooks_ = std::move(hooks);
  auto server = HttpServer::Listen(
      context_, ip, port, HttpServerLimits{},
      [this](HttpRequest request, std::shared_ptr<HttpResponder> responder) {
        OnRequest(std::move(request), std::move(responder));
      });
  if (!IsOk(server)) {
    return ErrorOf(server);
  }
  server_ = std::move(ValueOf(server));
  PrintStartupLine(name, ip, server_->port());
  return server_->port();
}

void StandinServer::Close() {
  server_.reset();
  silenced_.clear();
}

void StandinServer::RunAfter(Duration delay, std::function<void(Time)> action) {
  const auto timer = std::make_shared<boost::asio::steady_timer>(
      context_, std::chrono::milliseconds(std::min(delay, kMaxDelay).millis()));
  timer->async_wait([this, timer, action = std::move(action)](
                        boost::system::error_code failure) {
    if (!failure) {
      action(now());
    }
  });
}

void StandinServer::RunEvery(Duration period,
                             std::function<void(Time)> action) {
  RunAfter(period, [this, period, action = std::move(action)](Time now) {
    action(now);
    RunEvery(period, action);
  });
}

void StandinServer::OnRequest(HttpRequest request,
                              std::shared_ptr<HttpResponder> responder) {
  const std::string_view path = TargetPath(request.target);
  if (path == "/faults") {
    OnFaultsRequest(request, *responder);
    return;
  }
  if (IsTestPath(path)) {
    hooks_.handle(now(), std::move(request), std::move(responder));
    return;
  }
  const auto faulty = FaultyResponder::Wrap(
      std::move(responder), faults_, silenced_, ConsumeLostAnswer(request));
  if (faults_.silent) {
    faulty->Silence();
    return;
  }
  if (faults_.request_delay == Duration()) {
    Dispatch(std::move(request), faulty);
    return;
  }
  RunAfter(faults_.request_delay, [this, request = std::move(request), faulty](
                                      Time) { Dispatch(request, faulty); });
}

void StandinServer::OnFaultsRequest(const HttpRequest& request,
                                    HttpResponder& responder) {
  if (request.method == "GET") {
    responder.Respond(JsonResponse(200, EncodeFaults(faults_)));
    return;
  }
  Decoded<Faults> changed = ApplyFault(faults_, request.body);
  if (!IsOk(changed)) {
    responder.Respond(MalformedResponse(ErrorOf(changed)));
    return;
  }
  faults_ = std::move(ValueOf(changed));
  if (hooks_.on_faults_changed) {
    hooks_.on_faults_changed();
  }
  responder.Respond(JsonResponse(200, EncodeFaults(faults_)));
}

void StandinServer::Dispatch(HttpRequest request,
                             std::shared_ptr<HttpResponder> responder) {
  const bool is_workload = hooks_.is_workload(request);
  if (faults_.outage || (faults_.refuse && is_workload)) {
    responder->Respond(NotRunResponse(503, "fault"));
    return;
  }
  if (is_workload && IsCrashing(faults_, request)) {
    std::_Exit(kCrashStatus);
  }
  hooks_.handle(now(), std::move(request), std::move(responder));
}

bool StandinServer::ConsumeLostAnswer(const HttpRequest& request) {
  if (faults_.lose_answer == 0 || !hooks_.is_write(request)) {
    return false;
  }
  --faults_.lose_answer;
  return true;
}

}  // namespace gcw
